package routing

import (
	"maps"
	"time"

	"eelgrasshollow/internal/digest"
	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/prefix"
)

// eventLag is how old a cache event may be when it arrives: what was sent to the
// endpoint later than that stands.
const eventLag = time.Second

// goneEvictions bounds the evictions kept for the next digest.
const goneEvictions = 64

// CacheEvent is a decoded cache event of an endpoint.
type CacheEvent struct {
	Incarnation string
	Seq         uint64
	Kind        string
	Hashes      []prefix.Hash
}

// ApplyCacheEvent corrects the index by a cache event. Events of an ended incarnation, and ones
// that are not newer than the last, are ignored.
func (c *Core) ApplyCacheEvent(now time.Time, name string, e CacheEvent) {
	s := c.byName[name]
	if s == nil || !c.RecordIncarnation(s, e.Incarnation) || e.Seq <= s.eventSeq {
		return
	}
	s.eventSeq = e.Seq
	switch e.Kind {
	case engineapi.EventStored:
		c.index.Stored(s.index, e.Hashes, now.Add(-eventLag))
	case engineapi.EventRemoved:
		c.index.Remove(s.index, e.Hashes, now.Add(-eventLag))
		c.noteGone(s, e.Hashes)
	case engineapi.EventCleared:
		c.index.Forget(s.index)
	}
}

// ApplyLoadReport takes in an endpoint's lagging load report.
func (c *Core) ApplyLoadReport(now time.Time, name string, l engineapi.Load) {
	s := c.byName[name]
	if s == nil || !c.RecordIncarnation(s, l.Incarnation) {
		return
	}
	same := s.LoadReport.Role == l.Role && maps.Equal(s.LoadReport.Versions, l.Versions)
	if !same || now.Sub(s.retellAt) >= weightsKept/4 {
		s.announced, s.retellAt = false, now // peers forget what is not repeated
	}
	s.report(l, now)
}

// noteGone keeps evictions for the next digest, the newest of them.
func (c *Core) noteGone(s *State, hashes []prefix.Hash) {
	at := digest.Of(s.id, s.run)
	for _, h := range hashes {
		c.gone = append(c.gone, digest.Placement{At: at, Prefix: h})
	}
	if over := len(c.gone) - goneEvictions; over > 0 {
		c.gone = c.gone[over:]
	}
}
