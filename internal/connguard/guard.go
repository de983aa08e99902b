// Package connguard bounds what the peers of a process can make it hold: connections, the memory of request heads
// and messages that are incomplete, and the time for which they stay incomplete.
//
// A Guard is shared by all listeners of a process. At a bound it closes first the connections that serve nobody:
// those that have never sent a whole request, then those between requests, in both cases the one that has been in
// that state for longest.
//
// Invariants:
//   - The number of connections never exceeds Bounds.Connections. What they hold exceeds Bounds.Bytes only by
//     one large message of a peer, by the calls that each peer may have in any case, and by what is read ahead while
//     requests are served.
//   - A connection whose request is being served is never closed for others, unless its client does not read the
//     response. The request of any other connection that the guard closes has not run. Peers' connections are closed with calls on
//     them only for a second large message.
package connguard

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"eelgrasshollow/internal/membudget"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

const (
	// messageShare is the part of the memory limit that one message of a peer may have, as a divisor, and minMessageBytes
	// the least limit: a configuration of the greatest size that operators may send, and what goes with it.
	messageShare    = 8
	minMessageBytes = 20 << 20
	// connectionBytes is what an open connection holds: goroutine, buffers and structures in the process, and
	// bytes in the operating system that have arrived and are not read yet, for which it has a buffer of InitialBuffer.
	connectionBytes = 32 << 10
	// InitialBuffer is the size in bytes of the buffers that a listener sets for its connections, in both directions. The guard
	// enlarges them for requests and responses that are larger.
	InitialBuffer = 8 << 10
	// bufferCost is the memory of a byte of such a buffer: the operating system takes up to twice its size. widenShare is
	// the share of Bounds.Bytes up to which buffers are enlarged, so that no connection is closed for that.
	bufferCost = 2
	widenShare = 0.5
	// memoryShare is the share of the memory limit that connections may hold, and unlimitedBytes the bound
	// of a process without a memory limit.
	memoryShare    = 0.2
	unlimitedBytes = 128 << 20
	// reservedDescriptors are kept for files. connectionShare is the share of the other descriptors that accepted
	// connections may have. The rest is for the process's own calls, of which a request needs one.
	reservedDescriptors = 200
	connectionShare     = 0.5
	minConnections      = 16
	// partShare is the share of the connections that a listener other than that for callers or operators may have.
	partShare = 0.5
	// requestGrace is the time that a new connection has for its first request while others may be closed for it.
	requestGrace = 100 * time.Millisecond
	// stalledTime is the time for which a client may send nothing of the rest of a request, incompleteTime that for which
	// the request may be incomplete, and unreadTime that for which a client may read nothing of its response, while there is no memory
	// for other requests.
	stalledTime    = time.Second
	incompleteTime = 30 * time.Second
	unreadTime     = 3 * time.Second
	// deliveryTime is the time for a client to read its last response.
	deliveryTime = time.Second
	// logInterval is the least time between two log lines about the same listener and reason.
	logInterval = time.Second
)

// closeReason says why the guard closed a connection. It is a label of the metrics.
type closeReason string

const (
	// At a bound:
	reasonNoRequest  closeReason = "no_request" // it has never sent a whole request
	reasonIdle       closeReason = "idle"       // between two requests
	reasonIncomplete closeReason = "incomplete" // the rest of a request or message is missing
	reasonUnread     closeReason = "unread"     // it reads nothing of its response
	reasonNoRoom     closeReason = "no_room"    // a new one for which nothing else could be closed
	// In any case:
	reasonHeadSize    closeReason = "head_size"    // head over its limit
	reasonProtocol    closeReason = "protocol"     // ambiguous framing
	reasonMessageSize closeReason = "message_size" // message over its limit
)

// Bounds limit all connections of a process together.
type Bounds struct {
	Connections int
	Bytes       int64
	// MessageBytes limits one message of a peer.
	MessageBytes int64
	// PeerBuffer is the size up to which the buffers of peers' connections are enlarged.
	PeerBuffer int
}

// BoundsFor returns the bounds under a memory limit in bytes and a limit of descriptors. 0 means no limit of memory, and
// the limit of descriptors that the operating system sets.
func BoundsFor(memoryBytes int64, descriptors int) Bounds {
	if limit := systemDescriptors(); descriptors <= 0 || limit > 0 && limit < descriptors {
		descriptors = limit
	}
	b := Bounds{Connections: max(int(connectionShare*float64(descriptors-reservedDescriptors)), minConnections), Bytes: unlimitedBytes}
	if memoryBytes > 0 {
		b.Bytes = int64(memoryShare * float64(memoryBytes))
	}
	b.MessageBytes = max(memoryBytes/messageShare, minMessageBytes)
	b.PeerBuffer = membudget.LimitsFor(memoryBytes).SocketBuffer
	return b
}

// systemDescriptors returns the operating system's limit of descriptors, or 0 if it is not known.
func systemDescriptors() int {
	const unlimited = 1 << 20
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0 // then minConnections applies, unless the settings have a limit
	}
	return int(min(limit.Cur, unlimited))
}

// state is what a connection is doing. The order is that in which connections are closed at a bound; see Guard.evict.
type state int

const (
	fresh     state = iota // has never sent a whole request
	idle                   // between two requests
	receiving              // the rest of a request or message is missing
	serving                // a request is being served
)

var evictionReasons = [...]closeReason{fresh: reasonNoRequest, idle: reasonIdle, receiving: reasonIncomplete}

// Guard bounds the connections of a process. It is safe for concurrent use.
type Guard struct {
	bounds Bounds
	log    *zap.Logger

	mu          sync.Mutex
	held        int64
	connections int
	byListener  map[string]int
	// large is the connection that may exceed the bound of all, or nil; see claimLarge.
	large *tracked
	// all has the open connections.
	all map[*tracked]struct{}
	// waiting has the connections of each state except serving, first the one that has been in it for longest.
	waiting [serving]list.List
	logged  map[logKey]*logCount

	closed *prometheus.CounterVec
	open   *prometheus.GaugeVec
}

// New returns a guard without connections.
func New(bounds Bounds, log *zap.Logger) *Guard {
	return &Guard{
		bounds: bounds, log: log, logged: map[logKey]*logCount{}, byListener: map[string]int{}, all: map[*tracked]struct{}{},
		closed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "eelgrass", Subsystem: "connections", Name: "closed_total", Help: "Connections that were closed at a bound, by listener and reason.",
		}, []string{"listener", "reason"}),
		open: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: "eelgrass", Subsystem: "connections", Name: "open", Help: "Accepted connections.",
		}, []string{"listener"}),
	}
}

// Collectors returns the metrics of the guard.
func (g *Guard) Collectors() []prometheus.Collector {
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "eelgrass", Subsystem: "connections", Name: name, Help: help}, value)
	}
	return []prometheus.Collector{
		g.closed, g.open,
		gauge("limit", "Connections that may be open.", func() float64 { return float64(g.bounds.Connections) }),
		gauge("held_bytes", "Memory that is counted for connections, heads and messages.", func() float64 { return float64(g.Held()) }),
		gauge("held_limit_bytes", "Memory that connections, heads and messages may hold.", func() float64 { return float64(g.bounds.Bytes) }),
	}
}

// Held returns the bytes that are counted for all connections.
func (g *Guard) Held() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.held
}

// tracked is the guard's record of a connection.
type tracked struct {
	guard    *Guard
	raw      net.Conn
	listener string
	peer     bool // of another VM
	part     bool // of a listener that may have partShare of all connections
	// progress is the time of the last byte of an incomplete request, and writing that since which a write waits for
	// the client or 0, both in nanoseconds.
	progress, writing atomic.Int64

	// Guarded by Guard.mu:
	state   state
	since   time.Time     // when it entered the state
	element *list.Element // in Guard.waiting, or nil
	held    int64
	buffers int64            // of held, for buffers that have been enlarged
	wide    [directions]bool // whose buffer has been enlarged
	evicted bool             // closed by the guard
	gone    bool             // closed by either side
}

// errAtBound is the error of reads from a connection that the guard has closed.
var errAtBound = errors.New("connection closed at a bound")

// admit records a new connection and returns its record. If there is no room for it and nothing that may be closed, it closes the
// connection and returns nil.
func (g *Guard) admit(c *tracked) *tracked {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.guard = g
	for full := true; full; {
		which := anyConnection
		switch {
		case g.byListener[c.listener] >= g.limitFor(c):
			which = func(other *tracked) bool { return other.listener == c.listener }
		case g.connections >= g.bounds.Connections || g.held-g.largeHeld()+connectionBytes > g.bounds.Bytes:
		default:
			full = false
			continue
		}
		if !g.evict(which) && !g.evictStalled(func(other *tracked) bool { return other.state == serving && which(other) }) {
			g.report(c, reasonNoRoom)
			_ = c.raw.Close() // it is refused
			return nil
		}
	}
	g.connections++
	g.byListener[c.listener]++
	g.all[c] = struct{}{}
	g.open.WithLabelValues(c.listener).Inc()
	c.held = connectionBytes
	g.held += c.held
	c.enter(fresh)
	return c
}

// limitFor returns how many connections the listener of a connection may have. VMs of a large fleet need the number that descriptors
// allow; what their connections hold is bounded for all together.
func (g *Guard) limitFor(c *tracked) int {
	switch {
	case c.peer:
		return int(partShare * float64(g.bounds.Connections))
	case c.part:
		return int(partShare * float64(min(g.bounds.Connections, int(g.bounds.Bytes/connectionBytes))))
	default:
		return g.bounds.Connections
	}
}

// anyConnection is a condition for evict.
func anyConnection(*tracked) bool { return true }

// evict closes the connection that meets a condition and may be closed first, and reports whether there was one. New connections
// have requestGrace to send a request, so that a crowd of them does not close each other and those of callers.
func (g *Guard) evict(condition func(*tracked) bool) bool {
	ungraced := func(c *tracked) bool { return condition(c) && time.Since(c.since) >= requestGrace }
	return g.evictFrom(fresh, ungraced) || g.evictFrom(idle, condition) || g.evictFrom(fresh, condition) || g.evictFrom(receiving, condition)
}

// evictFrom closes the connection that has been in a state for longest of those that meet a condition, and reports whether there was one.
func (g *Guard) evictFrom(s state, condition func(*tracked) bool) bool {
	for e := g.waiting[s].Front(); e != nil; e = e.Next() {
		if c := e.Value.(*tracked); condition(c) {
			c.end(evictionReasons[s])
			return true
		}
	}
	return false
}

// enter changes the state. The time in the state starts anew only if it changes.
func (c *tracked) enter(s state) {
	if c.gone || c.element != nil && c.state == s || s == serving && c.state == s {
		return
	}
	c.unlist()
	c.state, c.since = s, time.Now()
	c.progress.Store(c.since.UnixNano())
	if s != serving {
		c.element = c.guard.waiting[s].PushBack(c)
	}
}

func (c *tracked) unlist() {
	if c.element != nil {
		c.guard.waiting[c.state].Remove(c.element)
		c.element = nil
	}
}

// end closes the connection at a bound.
func (c *tracked) end(reason closeReason) {
	c.evicted = true
	c.guard.report(c, reason)
	c.remove()
	// Closed in order, the operating system would keep what the client has not read. A response that was
	// just written still reaches a client that reads.
	if t, ok := c.raw.(*net.TCPConn); ok && (reason != reasonIdle || time.Since(c.since) >= deliveryTime) {
		_ = t.SetLinger(0) // a connection that has ended holds nothing
	}
	_ = c.raw.Close() // reads and writes that wait return
}

// forget gives back what a connection holds that its server closes.
func (c *tracked) forget() {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.remove()
}

// remove gives back what the connection holds.
func (c *tracked) remove() {
	if c.gone {
		return
	}
	c.unlist()
	c.gone = true
	c.guard.connections--
	c.guard.byListener[c.listener]--
	delete(c.guard.all, c)
	if c.guard.large == c {
		c.guard.large = nil
	}
	c.guard.held -= c.held
	c.guard.open.WithLabelValues(c.listener).Dec()
}

// update sets the state of a connection and what it holds beyond connectionBytes. It closes other connections if
// there is no room. The error says that this connection was closed, and that what was read last must not be used.
func (c *tracked) update(s state, held int64) error { return c.updateMessage(s, held, 0) }

// updateMessage is update for a connection whose incomplete message holds a part of that.
func (c *tracked) updateMessage(s state, held, message int64) error {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.gone {
		return c.closedError()
	}
	held += connectionBytes + c.buffers
	g.held += held - c.held
	c.held = held
	if !c.claimLarge(message) {
		c.end(reasonIncomplete)
		return c.closedError()
	}
	for g.held-g.largeHeld() > g.bounds.Bytes && g.evict(anyConnection) {
		if c.gone {
			return c.closedError()
		}
	}
	c.enter(s)
	return nil
}

// direction is that of bytes on a connection.
type direction int

const (
	received direction = iota
	sent
	directions
)

// widen enlarges the operating system's buffer for a direction to size bytes, if there is room for that. It reports whether the buffer
// is enlarged now.
func (c *tracked) widen(d direction, size int) bool {
	conn, ok := c.raw.(*net.TCPConn)
	cost := bufferCost * int64(size-InitialBuffer)
	if !ok || cost <= 0 {
		return false
	}
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.wide[d] {
		return true
	}
	if c.gone || float64(g.held+cost) > widenShare*float64(g.bounds.Bytes) {
		return false
	}
	set := conn.SetReadBuffer
	if d == sent {
		set = conn.SetWriteBuffer
	}
	if set(size) != nil {
		return false // the connection is being closed
	}
	c.wide[d] = true
	c.buffers += cost
	c.held += cost
	g.held += cost
	return true
}

// claimLarge makes the connection of a peer the one that may exceed the bound, if its message holds so much that closing others
// would hardly make room: a configuration or the state of a replica must get through, however little memory there is. It
// reports whether the connection may go on. One that has sent nothing whole yields to another one.
func (c *tracked) claimLarge(message int64) bool {
	g := c.guard
	if message <= g.bounds.Bytes/2 {
		if g.large == c {
			g.large = nil
		}
		return true
	}
	if other := g.large; other != nil && other != c {
		if other.state != fresh {
			return false
		}
		other.end(reasonNoRequest)
	}
	g.large = c
	return true
}

// largeHeld returns what the connection holds that may exceed the bound.
func (g *Guard) largeHeld() int64 {
	if g.large == nil {
		return 0
	}
	return g.large.held
}

// hasRoom reports whether there is room for n bytes without closing a connection.
func (g *Guard) hasRoom(n int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.held-g.largeHeld()+n <= g.bounds.Bytes
}

// acquire takes bytes that belong to no single connection and reports whether they were left.
func (g *Guard) acquire(n int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.held-g.largeHeld()+n > g.bounds.Bytes {
		if !g.evict(anyConnection) {
			return false
		}
	}
	g.held += n
	return true
}

func (g *Guard) release(n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held -= n
}

// closedError returns the error of a connection that has been closed.
func (c *tracked) closedError() error {
	if c.evicted {
		return errAtBound
	}
	return net.ErrClosed
}

// CloseStalled closes the client's connection that holds up its own request for longest: it has sent nothing of the rest of it for
// stalledTime, has not sent all of it for incompleteTime, or reads nothing of its response for unreadTime. It reports whether there
// was one.
func (g *Guard) CloseStalled() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.evictStalled(anyConnection)
}

// evictStalled is CloseStalled for connections that meet a condition.
func (g *Guard) evictStalled(condition func(*tracked) bool) bool {
	var worst *tracked
	var reason closeReason
	longest, now := time.Duration(0), time.Now()
	for c := range g.all {
		if c.peer || !condition(c) {
			continue
		}
		if stalled, why := c.stalled(now); stalled > longest {
			worst, longest, reason = c, stalled, why
		}
	}
	if worst != nil {
		worst.end(reason)
	}
	return worst != nil
}

// stalled returns for how long the client has held up its own request, or 0 if that is within the limits.
func (c *tracked) stalled(now time.Time) (time.Duration, closeReason) {
	if since := c.writing.Load(); since != 0 && now.UnixNano()-since >= int64(unreadTime) {
		return time.Duration(now.UnixNano() - since), reasonUnread
	}
	if c.state != receiving {
		return 0, ""
	}
	if pause := time.Duration(now.UnixNano() - c.progress.Load()); pause >= stalledTime {
		return pause, reasonIncomplete
	}
	if age := now.Sub(c.since); age >= incompleteTime {
		return age, reasonIncomplete
	}
	return 0, ""
}

// logKey identifies log lines that are counted together.
type logKey struct {
	listener string
	reason   closeReason
}

// logCount counts closed connections since the last line.
type logCount struct {
	last   time.Time
	closed int
}

// count counts a connection whose server closes it at a limit.
func (g *Guard) count(c *tracked, reason closeReason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report(c, reason)
}

// report counts a closed connection, and logs it unless there was a line in the last logInterval. The next
// line counts those without one.
func (g *Guard) report(c *tracked, reason closeReason) {
	g.closed.WithLabelValues(c.listener, string(reason)).Inc()
	key := logKey{c.listener, reason}
	count := g.logged[key]
	if count == nil {
		count = &logCount{}
		g.logged[key] = count
	}
	count.closed++
	if now := time.Now(); now.Sub(count.last) >= logInterval {
		g.log.Warn("connections closed at a bound", zap.String("listener", c.listener), zap.String("reason", string(reason)),
			zap.Int("closed", count.closed), zap.String("last_from", c.raw.RemoteAddr().String()), zap.Int("open", g.connections),
			zap.Int("limit", g.bounds.Connections), zap.Int64("held_bytes", g.held), zap.Int64("held_limit_bytes", g.bounds.Bytes))
		count.last, count.closed = now, 0
	}
}
