package consensus

import (
	"eelgrasshollow/internal/errkind"

	"github.com/cockroachdb/errors"
)

// ErrStoreRefused is the error of a replica whose store differs from what another
// replica recorded about it.
var ErrStoreRefused = errors.New("store refused by the group")

// storeVerdict is the result of checking another replica's store.
type storeVerdict uint8

const (
	storeAccepted   storeVerdict = iota
	storeOldBoot                 // the message is from an earlier start of the store
	storeReplaced                // the sender has another store than the recorded one
	storeRolledBack              // the store lacks a start or writes that were recorded
)

// check compares the identity in a message with the sender's recorded store.
func (w Witness) check(id Identity) storeVerdict {
	switch {
	case w.Store == "":
		return storeAccepted
	case w.Store != id.Store:
		return storeReplaced
	case id.Boot < w.Boot:
		return storeOldBoot
	case id.Boot == w.Boot && id.Nonce != w.Nonce:
		return storeRolledBack
	case id.Boot > w.Boot && id.WritesAtBoot < w.Writes:
		return storeRolledBack
	}
	return storeAccepted
}

// checkSender checks the sender's store, records an accepted one and queues the reply
// to a hello. It reports whether the message may be handled.
func (c *Core) checkSender(m Message) bool {
	witness := c.hardState.Witnesses[m.From]
	verdict := witness.check(m.Identity)
	if verdict == storeAccepted {
		c.recordWitness(m, witness)
		if m.Kind == MsgHello || m.Kind == MsgHelloReply {
			c.restartReports[m.From] = restartReport{startTerm: m.StartTerm, lastLeader: m.LastLeader, lastLeaderTerm: m.LastLeaderTerm}
		}
	}
	if m.Kind == MsgHello && (verdict != storeAccepted || !c.hasLiveLeader()) {
		leads := c.role == Leader && c.commitIndex >= c.termStartIndex && c.now.Before(c.leaseEnd())
		c.sendAfterSync(Message{Kind: MsgHelloReply, To: m.From, For: m.Identity, Reject: verdict != storeAccepted, Leads: leads})
	}
	if verdict == storeReplaced || verdict == storeRolledBack {
		if m.Kind != MsgHello {
			c.sendAfterSync(Message{Kind: MsgHelloReply, To: m.From, For: m.Identity, Reject: true})
		}
	}
	return verdict == storeAccepted
}

// hasLiveLeader reports whether this replica follows a leader and received a message from
// it within the last election timeout. In that case only the leader accepts stores,
// because the leader has the latest acknowledgements.
func (c *Core) hasLiveLeader() bool {
	return c.role != Leader && c.leaderID != 0 && c.now.Before(c.lastLeaderContact.Add(c.cfg.ElectionTimeout))
}

func (c *Core) recordWitness(m Message, witness Witness) {
	if witness.Store != m.Identity.Store || witness.Boot != m.Identity.Boot {
		witness = Witness{Store: m.Identity.Store, Boot: m.Identity.Boot, Nonce: m.Identity.Nonce, Writes: witness.Writes}
		c.hardStateDirty = true
	}
	witness.Writes = max(witness.Writes, m.Writes, m.Identity.WritesAtBoot)
	c.hardState.Witnesses[m.From] = witness
}

// mergeWitnesses merges the leader's witnesses into this replica's own.
func (c *Core) mergeWitnesses(received map[uint64]Witness) {
	for id, update := range received {
		witness := c.hardState.Witnesses[id]
		switch {
		case id == c.id:
		case witness.Store == "" || update.Store == witness.Store && update.Boot > witness.Boot:
			c.hardState.Witnesses[id], c.hardStateDirty = update, true
		case update.Store == witness.Store && update.Boot == witness.Boot && update.Writes > witness.Writes:
			witness.Writes = update.Writes
			c.hardState.Witnesses[id] = witness
		}
	}
}

// sendHellos asks the other replicas to accept this store, once per heartbeat interval
// until the store is verified.
func (c *Core) sendHellos() {
	if c.isStoreVerified() || c.now.Before(c.nextHello) {
		return
	}
	c.nextHello = c.now.Add(c.cfg.HeartbeatInterval)
	for _, member := range c.members.Members {
		if member.ID != c.id && !c.verifiedBy[member.ID] {
			c.sendAfterSync(Message{Kind: MsgHello, To: member.ID})
		}
	}
}

func (c *Core) handleHelloReply(m Message) {
	if m.For != c.identity {
		return
	}
	if m.Reject {
		c.ready.Fatal = errkind.Wrap(ErrStoreRefused, errkind.Corrupt,
			"replica %d has recorded another state of this store: its disk was lost, replaced or rolled back; "+
				"empty it and add it under a new replica number", m.From)
		return
	}
	c.verifiedBy[m.From] = true
	if m.Leads && m.Term >= c.hardState.Term {
		// Replicas that follow a leader do not accept stores, so the leader's reply alone
		// must suffice. This is safe: the leader holds every committed entry and sends all
		// entries that this replica acknowledges from now on.
		c.storeVerified = true
	}
}

// isStoreVerified reports whether the leader, or a majority that includes this replica,
// has accepted this store since the start. Once verified, the store stays verified.
func (c *Core) isStoreVerified() bool {
	if c.storeVerified {
		return true
	}
	count := 1
	for _, id := range c.members.voters() {
		if id != c.id && c.verifiedBy[id] {
			count++
		}
	}
	verified := count >= c.members.quorum()
	c.storeVerified = verified && len(c.members.Members) > 0
	return verified
}
