package routing

import (
	"maps"
	"time"

	"eelgrasshollow/internal/digest"
	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/prefix"
)

// maxEventDelay is the longest assumed delivery delay of a cache event. An event does not
// change index entries for requests that were sent within this time before its arrival.
const maxEventDelay = time.Second

// maxQueuedEvictions bounds the evictions collected for the next digest.
const maxQueuedEvictions = 64

// CacheEvent is a decoded cache event of an endpoint.
type CacheEvent struct {
	Incarnation string
	Seq         uint64
	Kind        string
	Hashes      []prefix.Hash
}

// ApplyCacheEvent corrects the cache index by a cache event. It ignores events of earlier
// incarnations and events that are not newer than the last one.
func (c *Core) ApplyCacheEvent(now time.Time, name string, e CacheEvent) {
	s := c.byName[name]
	if s == nil || !c.RecordIncarnation(s, e.Incarnation) || e.Seq <= s.eventSeq {
		return
	}
	s.eventSeq = e.Seq
	switch e.Kind {
	case engineapi.EventStored:
		c.index.RecordStored(s.index, e.Hashes, now.Add(-maxEventDelay))
	case engineapi.EventRemoved:
		c.index.Remove(s.index, e.Hashes, now.Add(-maxEventDelay))
		c.queueEvictions(s, e.Hashes)
	case engineapi.EventCleared:
		c.index.ClearEndpoint(s.index)
	}
}

// ApplyLoadReport records an endpoint's load report, which lags behind its actual load.
func (c *Core) ApplyLoadReport(now time.Time, name string, l engineapi.Load) {
	s := c.byName[name]
	if s == nil || !c.RecordIncarnation(s, l.Incarnation) {
		return
	}
	unchanged := s.LoadReport.Role == l.Role && maps.Equal(s.LoadReport.Versions, l.Versions)
	if !unchanged || now.Sub(s.weightsResentAt) >= weightsReportTTL/4 {
		s.announced, s.weightsResentAt = false, now // peers expire weights that are not sent again
	}
	s.applyLoadReport(l, now)
}

// queueEvictions collects evictions for the next digest; it drops the oldest ones if there
// are too many.
func (c *Core) queueEvictions(s *State, hashes []prefix.Hash) {
	at := digest.EndpointRunOf(s.id, s.run)
	for _, h := range hashes {
		c.evictions = append(c.evictions, digest.Placement{EndpointRun: at, Prefix: h})
	}
	if excess := len(c.evictions) - maxQueuedEvictions; excess > 0 {
		c.evictions = c.evictions[excess:]
	}
}
