package consensus

import (
	"eelgrasshollow/internal/errkind"

	"github.com/cockroachdb/errors"
)

// ErrStoreRefused is the reason of a replica whose store the others know otherwise.
var ErrStoreRefused = errors.New("store refused by the group")

// verdict on another replica's store.
type verdict uint8

const (
	storeKnown verdict = iota
	storeOutdated
	storeReplaced
	storeRolledBack
)

// judge compares a claim with what is remembered of the sender's store.
func (w Witness) judge(id Identity) verdict {
	switch {
	case w.Store == "":
		return storeKnown
	case w.Store != id.Store:
		return storeReplaced
	case id.Boot < w.Boot:
		return storeOutdated
	case id.Boot == w.Boot && id.Nonce != w.Nonce:
		return storeRolledBack
	case id.Boot > w.Boot && id.WritesAtBoot < w.Writes:
		return storeRolledBack
	}
	return storeKnown
}

// recognise checks the sender's store, remembers it, and answers a hello. It
// reports whether the message may be handled.
func (c *Core) recognise(m Message) bool {
	w := c.hard.Witnesses[m.From]
	v := w.judge(m.Identity)
	if v == storeKnown {
		c.remember(m, w)
	}
	if m.Kind == MsgHello && (v != storeKnown || !c.underLeader()) {
		leads := c.role == Leader && c.commit >= c.termStart && c.now.Before(c.leaseEnd())
		c.send(Message{Kind: MsgHelloReply, To: m.From, For: m.Identity, Reject: v != storeKnown, Leads: leads})
	}
	if v == storeReplaced || v == storeRolledBack {
		if m.Kind != MsgHello {
			c.send(Message{Kind: MsgHelloReply, To: m.From, For: m.Identity, Reject: true})
		}
	}
	return v == storeKnown
}

// underLeader reports whether another replica leads this one now. It knows best
// which acknowledgements were given, so it alone recognises stores then.
func (c *Core) underLeader() bool {
	return c.role != Leader && c.leader != 0 && c.now.Before(c.heardLeader.Add(c.cfg.ElectionTimeout))
}

func (c *Core) remember(m Message, w Witness) {
	if w.Store != m.Identity.Store || w.Boot != m.Identity.Boot {
		w = Witness{Store: m.Identity.Store, Boot: m.Identity.Boot, Nonce: m.Identity.Nonce, Writes: w.Writes}
		c.dirty = true
	}
	w.Writes = max(w.Writes, m.Writes, m.Identity.WritesAtBoot)
	c.hard.Witnesses[m.From] = w
}

// learnWitnesses takes over what the leader remembers of the other stores.
func (c *Core) learnWitnesses(theirs map[uint64]Witness) {
	for id, t := range theirs {
		w := c.hard.Witnesses[id]
		switch {
		case id == c.id:
		case w.Store == "" || t.Store == w.Store && t.Boot > w.Boot:
			c.hard.Witnesses[id], c.dirty = t, true
		case t.Store == w.Store && t.Boot == w.Boot && t.Writes > w.Writes:
			w.Writes = t.Writes
			c.hard.Witnesses[id] = w
		}
	}
}

// hello asks the others to recognise this store until a majority has.
func (c *Core) hello() {
	if c.trusted() || c.now.Before(c.helloAt) {
		return
	}
	c.helloAt = c.now.Add(c.cfg.HeartbeatInterval)
	for _, x := range c.members.Members {
		if x.ID != c.id && !c.confirmed[x.ID] {
			c.send(Message{Kind: MsgHello, To: x.ID})
		}
	}
}

func (c *Core) handleHelloReply(m Message) {
	if m.For != c.identity {
		return
	}
	if m.Reject {
		c.out.Fatal = errkind.Wrap(ErrStoreRefused, errkind.Corrupt,
			"replica %d knows another state of this store: its disk was lost, replaced or rolled back; "+
				"empty it and add it under a new replica number", m.From)
		return
	}
	c.confirmed[m.From] = true
	if m.Leads && m.Term >= c.hard.Term {
		// The others leave a store to the leader, so its word has to be enough: it holds
		// every committed entry, and what this replica acknowledges from now on, it sends.
		c.recognised = true
	}
}

// trusted reports whether the leader, or a majority with this replica, recognised this
// store since the start. Once they have, it stays so.
func (c *Core) trusted() bool {
	if c.recognised {
		return true
	}
	n := 1
	for _, id := range c.members.voters() {
		if id != c.id && c.confirmed[id] {
			n++
		}
	}
	enough := n >= c.members.quorum()
	c.recognised = enough && len(c.members.Members) > 0
	return enough
}
