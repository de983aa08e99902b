// Package relay decides how the digests of a large fleet of entry VMs reach all of them with few messages:
// which VMs exchange digests with each other (Topology), and what a relay passes on to whom (Hub). It makes its
// decisions without network or clock; times are passed in.
package relay

import (
	"maps"
	"slices"
	"time"

	"eelgrasshollow/internal/digest"
)

const (
	// MinInterval and MaxInterval bound the time between two exchanges of a VM with its relay,
	// and of the relays with each other; see Topology.Interval.
	MinInterval = 100 * time.Millisecond
	MaxInterval = 500 * time.Millisecond
	// MaxDigestBytes limits a digest from a relay.
	MaxDigestBytes = 4 << 10
	// maxNews is the number of news items that a relay keeps for the VMs that have not fetched them
	// yet.
	maxNews = 4096
	// newRelayAlerts is the age up to which a relay sends its alerts to one that is new to it.
	newRelayAlerts = 3 * time.Second
	// memberTimeout is the time since a VM's last exchange after which a relay no longer counts
	// it among its cell.
	memberTimeout = 3 * time.Second
)

// newsItem is one placement, eviction or set of loaded weights in a digest.
type newsItem struct {
	origin    string // peer address of the VM that it came from
	placement digest.Placement
	loaded    digest.LoadedWeights
	kind      newsKind
}

type newsKind uint8

const (
	newsPlacement newsKind = iota
	newsEvicted
	newsLoaded
)

// Hub is what a relay keeps for its cell: which VMs belong to it, and the news that they fetch at
// their own pace. It is not safe for concurrent use.
type Hub struct {
	// Epoch identifies the start of the relay.
	Epoch   uint64
	members map[string]time.Time // time of the last exchange, by peer address
	// alerts are the suspects and rate limits for the cell, cellAlerts those from the cell for the
	// other relays. They go before other news, of which a busy fleet has more than fits: late, they
	// would let requests pass that should not.
	alerts, cellAlerts *alertQueue
	news               newsQueue
	speeds             speedQueues
	// progress is what the other relays have, by peer address.
	progress map[string]*progress
	// alertsLeft is the number of alerts that the last reply to a VM had no room for.
	alertsLeft uint64
}

// Position is how far a VM has read what a relay passes on: the numbers of the last alert and of the last
// news item. The zero value is the position before the first ones.
type Position struct{ Alerts, News uint64 }

// progress is how far another relay is: the last alert of this cell that was delivered to it, and
// the last news that was sent to it.
type progress struct{ alerts, news uint64 }

// NewHub returns the hub of a relay that has just started.
func NewHub(epoch uint64) *Hub {
	return &Hub{Epoch: epoch, speeds: newSpeedQueues(), members: map[string]time.Time{}, alerts: newAlertQueue(), cellAlerts: newAlertQueue(), progress: map[string]*progress{}}
}

// Members returns the peer addresses of the VMs of the cell.
func (h *Hub) Members() []string { return slices.Collect(maps.Keys(h.members)) }

// AlertsLeft returns the number of alerts that the last reply to a VM had no room for.
func (h *Hub) AlertsLeft() uint64 { return h.alertsLeft }

// RecordMember keeps the digest of a VM of the cell.
func (h *Hub) RecordMember(now time.Time, d *digest.Digest) {
	h.members[d.From] = now
	h.RecordOwn(now, d)
}

// RecordOwn keeps the news of this VM for its cell and for the other relays.
func (h *Hub) RecordOwn(now time.Time, d *digest.Digest) {
	h.record(now, d, true)
}

// RecordRelay keeps the news of another relay for the cell, if there is one.
func (h *Hub) RecordRelay(now time.Time, d *digest.Digest) {
	if len(h.members) > 0 {
		h.record(now, d, false)
	}
}

// record keeps the news of a digest. fromCell reports whether the other relays need it.
func (h *Hub) record(now time.Time, d *digest.Digest, fromCell bool) {
	h.alerts.record(now, d)
	h.speeds.record(d, fromCell)
	if fromCell {
		h.cellAlerts.record(now, d)
	}
	for _, p := range d.Placements {
		h.news.add(newsItem{origin: d.From, kind: newsPlacement, placement: p})
	}
	for _, p := range d.Evicted {
		h.news.add(newsItem{origin: d.From, kind: newsEvicted, placement: p})
	}
	for _, l := range d.Loaded {
		h.news.add(newsItem{origin: d.From, kind: newsLoaded, loaded: l})
	}
}

// Latest returns the position after all that the hub holds.
func (h *Hub) Latest() Position { return Position{Alerts: h.alerts.next, News: h.news.next} }

// SkipSpeeds counts all speeds that the hub holds as sent to a VM of the cell.
func (h *Hub) SkipSpeeds(member string) { h.speeds.all.skip(member) }

// AppendForMember adds what a VM of the cell has not read after a position to a digest for it, alerts
// first, as far as the digest stays within MaxDigestBytes. It returns the position that the VM reaches.
func (h *Hub) AppendForMember(d *digest.Digest, after Position, member string) Position {
	reached := Position{Alerts: h.alerts.appendTo(d, after.Alerts, MaxDigestBytes, member)}
	h.alertsLeft = h.alerts.next - reached.Alerts
	d.Speeds = h.speeds.all.take(member, maxSpeeds)
	reached.News = h.news.appendTo(d, after.News, MaxDigestBytes-len(d.Speeds)*digest.SpeedBytes, func(origin string) bool { return origin != member })
	return reached
}

// Expire forgets VMs that exchange digests with another relay now, or with none.
func (h *Hub) Expire(now time.Time) {
	for address, last := range h.members {
		if now.Sub(last) > memberTimeout {
			delete(h.members, address)
			h.speeds.all.forget(address)
		}
	}
}

// SetRelays sets the other relays. One that is new gets the alerts of the last newRelayAlerts and the news
// from now on; it recalls the rest.
func (h *Hub) SetRelays(now time.Time, relays []string) {
	maps.DeleteFunc(h.progress, func(address string, _ *progress) bool { return !slices.Contains(relays, address) })
	h.speeds.cell.keepOnly(relays)
	for _, address := range relays {
		if h.progress[address] == nil {
			h.progress[address] = &progress{alerts: h.cellAlerts.lastBefore(now.Add(-newRelayAlerts)), news: h.news.next}
		}
	}
}

// AppendForRelay adds the alerts and news of this relay, which has the peer address self, and of its cell to
// a digest for another relay. The caller calls delivered once the digest has arrived; alerts that were not
// delivered are added again the next time.
func (h *Hub) AppendForRelay(d *digest.Digest, relay, self string) (delivered func()) {
	ofCell := func(origin string) bool {
		_, member := h.members[origin]
		return member || origin == self
	}
	p := h.progress[relay]
	d.Speeds = h.speeds.cell.take(relay, maxSpeeds)
	lastAlert := h.cellAlerts.appendTo(d, p.alerts, MaxDigestBytes, "")
	p.news = h.news.appendTo(d, p.news, MaxDigestBytes-len(d.Speeds)*digest.SpeedBytes, ofCell)
	return func() { p.alerts = lastAlert }
}

// newsQueue holds the last maxNews items, numbered from 1 on.
type newsQueue struct {
	items []newsItem
	next  uint64 // number of the last item
}

// add appends items and drops the oldest ones beyond the limit.
func (q *newsQueue) add(items ...newsItem) {
	q.items = append(q.items, items...)
	q.next += uint64(len(items))
	q.items = q.items[max(0, len(q.items)-maxNews):]
}

// appendTo adds the items after a number to the digest, as far as it stays within maxBytes and
// wanted accepts their origin. It returns the number of the last item that is dealt with.
func (q *newsQueue) appendTo(d *digest.Digest, after uint64, maxBytes int, wanted func(origin string) bool) uint64 {
	first := q.next - uint64(len(q.items)) // number of the item before items[0]
	start := 0
	if after > first {
		start = int(min(after, q.next) - first)
	}
	for i, item := range q.items[start:] {
		if !wanted(item.origin) {
			continue
		}
		if d.Size()+digest.MaxNewsBytes > maxBytes {
			return first + uint64(start+i)
		}
		switch item.kind {
		case newsPlacement:
			d.Placements = append(d.Placements, item.placement)
		case newsEvicted:
			d.Evicted = append(d.Evicted, item.placement)
		case newsLoaded:
			d.Loaded = append(d.Loaded, item.loaded)
		}
	}
	return q.next
}
