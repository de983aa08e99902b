package relay

import (
	"container/list"
	"time"

	"eelgrasshollow/internal/digest"
	"eelgrasshollow/internal/permits"
	"eelgrasshollow/internal/quarantine"
)

const (
	// maxAlerts is the number of suspects and rate limits that a relay keeps.
	maxAlerts = 4096
	// alertRepeatInterval is the time after which a relay passes on an alert again that has not
	// changed.
	alertRepeatInterval = 500 * time.Millisecond
)

// alertState is what is known of one suspect, or of the rate limit of one incarnation of an endpoint.
// The other field is zero.
type alertState struct {
	suspect digest.Suspect
	limit   digest.RateLimit
}

// alertKey tells alerts apart: by trait, or by the incarnation of the endpoint.
type alertKey struct {
	isLimit bool
	id      uint64
}

func (s alertState) key() alertKey {
	if s.limit != (digest.RateLimit{}) {
		return alertKey{isLimit: true, id: uint64(s.limit.EndpointRun)}
	}
	return alertKey{id: uint64(s.suspect.Trait)}
}

// merge returns what two states of one key say together.
func (s alertState) merge(other alertState) alertState {
	return alertState{quarantine.MergeRecords(s.suspect, other.suspect), permits.MergeLimits(s.limit, other.limit)}
}

// alert is the state of a suspect or rate limit in an alertQueue.
type alert struct {
	alertState
	origin string // peer address of the VM that has sent all of it; "" for none
	at     time.Time
	number uint64
}

// alertQueue holds one alert for each suspect and rate limit, in the order of their last changes. Those
// are numbered from 1 on. What a VM sends is merged with what the queue holds: VMs that hear of a crash
// late send outdated records, and there may be many of both. It is not safe for concurrent use.
type alertQueue struct {
	byKey map[alertKey]*list.Element
	order *list.List // of *alert, the last change at the end
	next  uint64     // number of the last change
}

func newAlertQueue() *alertQueue {
	return &alertQueue{byKey: map[alertKey]*list.Element{}, order: list.New()}
}

// record adds the suspects and limits of a digest.
func (q *alertQueue) record(now time.Time, d *digest.Digest) {
	for _, s := range d.Suspects {
		q.put(alert{alertState: alertState{suspect: s}, origin: d.From, at: now})
	}
	for _, l := range d.Limits {
		q.put(alert{alertState: alertState{limit: l}, origin: d.From, at: now})
	}
}

// put merges an alert with the one that the queue holds. One that brings nothing new goes to the end
// only if the last is older than alertRepeatInterval.
func (q *alertQueue) put(a alert) {
	key := a.key()
	if e := q.byKey[key]; e != nil {
		last := e.Value.(*alert)
		merged := last.merge(a.alertState)
		if merged == last.alertState && a.at.Sub(last.at) < alertRepeatInterval {
			return
		}
		if merged != a.alertState {
			a.alertState, a.origin = merged, ""
		}
		q.order.Remove(e)
	}
	q.next++
	a.number = q.next
	q.byKey[key] = q.order.PushBack(&a)
	if first := q.order.Front(); q.order.Len() > maxAlerts {
		delete(q.byKey, q.order.Remove(first).(*alert).key())
	}
}

// lastBefore returns the number of the last alert before a time.
func (q *alertQueue) lastBefore(t time.Time) uint64 {
	number := q.next
	for e := q.order.Back(); e != nil && !e.Value.(*alert).at.Before(t); e = e.Prev() {
		number = e.Value.(*alert).number - 1
	}
	return number
}

// appendTo adds the alerts after a number to the digest, as far as it stays within maxBytes, without
// those that the VM named by except has sent. It returns the number of the last alert that is dealt
// with.
func (q *alertQueue) appendTo(d *digest.Digest, after uint64, maxBytes int, except string) uint64 {
	e := q.order.Back()
	for e != nil && e.Prev() != nil && e.Prev().Value.(*alert).number > after {
		e = e.Prev()
	}
	for ; e != nil; e = e.Next() {
		a := e.Value.(*alert)
		if a.number <= after || a.origin != "" && a.origin == except {
			continue
		}
		if d.Size()+digest.MaxNewsBytes > maxBytes {
			return a.number - 1
		}
		if a.key().isLimit {
			d.Limits = append(d.Limits, a.limit)
		} else {
			d.Suspects = append(d.Suspects, a.suspect)
		}
	}
	return q.next
}
