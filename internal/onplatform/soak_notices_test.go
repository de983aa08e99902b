package onplatform

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// drainBound is the platform's bound on the time until an entry VM that has passed on a
	// leaving server's response sends that server nothing more.
	drainBound = 3 * time.Second
	// pauseFor is the time for which a pausing server wants nothing, and pauseSlack the time in
	// which requests that are on their way may still arrive; pauseExcess more may arrive later.
	pauseFor    = 2 * time.Second
	pauseSlack  = 500 * time.Millisecond
	pauseExcess = 2
	// statedLimit is the number of requests per second that a server in need takes from all entry
	// VMs together. After drainBound, it may get limitFactor times as many, and limitExcess more,
	// in a limitWindow from entry VMs that were told limitNotice before.
	statedLimit = 3
	limitFactor = 1.5
	limitExcess = 5
	limitWindow = 4 * time.Second
	limitNotice = 500 * time.Millisecond
	// heldDelivery is the time after a fault of a link in which requests that it held may still
	// arrive. Their entry VM has given them up, so it does not receive the responses.
	heldDelivery = 500 * time.Millisecond
)

// serverNotices is what the servers of a soak state about themselves, and to which entry VMs.
// It records the requests that arrive in spite of it.
type serverNotices struct {
	mu         sync.Mutex
	servers    [soakServers]noticeState
	disturbed  map[string]disturbance // by daemon or link
	violations []string
}

// disturbance records the faults of a daemon or link, which may overlap.
type disturbance struct {
	active int       // faults in progress
	ended  time.Time // end of the last fault
}

// noticeState is the state of one server.
type noticeState struct {
	incarnation int
	leaving     bool
	pausing     bool
	limitedAt   time.Time // when it began to state its limit; zero while it states none
	counted     []time.Time
	toldLimit   map[string]time.Time // first such response since the entry VM's last fault
	toldLeaving map[string]time.Time // first such response, by entry VM
	toldPause   map[string]time.Time // last such response, by entry VM
	late        map[string]int       // requests during a pause, by entry VM
}

func newServerNotices() *serverNotices {
	n := &serverNotices{disturbed: map[string]disturbance{}}
	for i := range n.servers {
		n.servers[i] = newNoticeState(0)
	}
	return n
}

func newNoticeState(incarnation int) noticeState {
	return noticeState{incarnation: incarnation, toldLimit: map[string]time.Time{}, toldLeaving: map[string]time.Time{}, toldPause: map[string]time.Time{}, late: map[string]int{}}
}

// id returns the present ID of a server.
func (n *serverNotices) id(server int) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return fmt.Sprintf("i-%d-%d", server, n.servers[server].incarnation)
}

// disturb records the begin or end of a fault of a daemon or link.
func (n *serverNotices) disturb(target string, begins bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := n.disturbed[target]
	if begins {
		d.active++
	} else {
		d.active, d.ended = d.active-1, time.Now()
	}
	n.disturbed[target] = d
}

// excused reports whether the entry VM or its path to the server was disturbed after a time.
func (n *serverNotices) excused(vm string, server int, since time.Time) bool {
	for _, target := range []string{vm, fmt.Sprint("app-", server)} {
		if d := n.disturbed[target]; d.active > 0 || d.ended.Add(heldDelivery).After(since) {
			return true
		}
	}
	return false
}

// vmOf returns the entry VM to which a call was made, from the call's ID.
func vmOf(id string) string {
	vm, _, _ := strings.Cut(id, ".")
	return "entry-" + vm
}

// sender returns the entry VM that sent a request through a link, or "" if it has closed the connection. It is another one
// than that of the call if the request was forwarded.
func (r *soakRun) sender(link string, request *http.Request) string {
	client, accepted, open := r.links[link].ClientOf(request.RemoteAddr)
	if !open {
		return ""
	}
	inode, err := socketInode(client.(*net.TCPAddr), accepted.(*net.TCPAddr))
	if err != nil {
		return ""
	}
	for _, name := range entryNames {
		r.mu.Lock()
		command := r.commands[name]
		r.mu.Unlock()
		if command != nil && ownsSocket(command.Process.Pid, inode) {
			return name
		}
	}
	return ""
}

// announce checks a request that arrives at a server, and writes the server's notices to the
// header of the response. It reports whether the server refuses the request and pauses. sender is the entry VM that sent the
// request. If it is "", the VM has closed the connection and won't receive the notices.
func (n *serverNotices) announce(w http.ResponseWriter, server int, requestID, sender string) (pauses bool) {
	vm, now, gone := sender, time.Now(), sender == ""
	if gone {
		vm = vmOf(requestID)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	s := &n.servers[server]
	if told, ok := s.toldLeaving[vm]; ok && now.Sub(told) > drainBound && !n.excused(vm, server, told) {
		n.violations = append(n.violations, fmt.Sprintf("request %s reached server %d %v after %s had heard that it leaves", requestID, server, now.Sub(told), vm))
	}
	if told, ok := s.toldPause[vm]; ok && now.Sub(told) > pauseSlack && now.Sub(told) < pauseFor && !n.excused(vm, server, told) {
		if s.late[vm]++; s.late[vm] > pauseExcess {
			n.violations = append(n.violations, fmt.Sprintf("request %s reached server %d %v after %s had been asked for a pause of %v", requestID, server, now.Sub(told), vm, pauseFor))
		}
	}
	if !s.limitedAt.IsZero() {
		n.checkLimit(server, vm, now, gone)
		w.Header().Set("Server-Limit", strconv.Itoa(statedLimit))
	}
	if s.leaving {
		w.Header().Set("Server-Leaving", "1")
		if _, told := s.toldLeaving[vm]; !told && !gone {
			s.toldLeaving[vm] = now
		}
	}
	if s.pausing {
		w.Header().Set("Retry-After", strconv.FormatFloat(pauseFor.Seconds(), 'f', -1, 64))
		if !gone {
			s.toldPause[vm], s.late[vm] = now, 0
		}
	}
	return s.pausing
}

// checkLimit checks a request that arrives at a server that states a limit. gone is set if its entry VM won't receive the limit.
func (n *serverNotices) checkLimit(server int, vm string, now time.Time, gone bool) {
	s := &n.servers[server]
	told, ok := s.toldLimit[vm]
	if !ok || n.excused(vm, server, told) {
		if !gone {
			s.toldLimit[vm] = now
		}
		return
	}
	if now.Sub(told) < limitNotice {
		return
	}
	s.counted = append(s.counted, now)
	s.counted = slices.DeleteFunc(s.counted, func(at time.Time) bool { return now.Sub(at) > limitWindow })
	if allowed := limitFactor*statedLimit*limitWindow.Seconds() + limitExcess; now.Sub(s.limitedAt) > drainBound && float64(len(s.counted)) > allowed {
		n.violations = append(n.violations, fmt.Sprintf("server %d, which takes %d requests a second, got %d in %v", server, statedLimit, len(s.counted), limitWindow))
	}
}

// limit makes a server state a limit.
func (r *soakRun) limit(target string, hold time.Duration) {
	n, server := r.servers.notices, int(target[len(target)-1]-'0')
	n.mu.Lock()
	s := &n.servers[server]
	s.limitedAt, s.counted = time.Now(), nil
	clear(s.toldLimit)
	n.mu.Unlock()
	time.Sleep(drainBound + hold)
	n.mu.Lock()
	n.servers[server].limitedAt = time.Time{}
	n.mu.Unlock()
}

// leave makes a server announce that it leaves, while the list goes on to call it ready. Then it
// starts again at the same address.
func (r *soakRun) leave(target string, hold time.Duration) {
	n, server := r.servers.notices, int(target[len(target)-1]-'0')
	n.mu.Lock()
	n.servers[server].leaving = true
	n.mu.Unlock()
	time.Sleep(drainBound + hold)
	n.mu.Lock()
	n.servers[server] = newNoticeState(n.servers[server].incarnation + 1)
	n.mu.Unlock()
}

// pause makes a server refuse all requests and ask for a pause.
func (r *soakRun) pause(target string, hold time.Duration) {
	n, server := r.servers.notices, int(target[len(target)-1]-'0')
	set := func(pausing bool) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.servers[server].pausing = pausing
	}
	set(true)
	time.Sleep(hold)
	set(false)
}

// A fault that begins and ends during another one must not end the excuse of the other.
func TestOverlappingFaultsExcuse(t *testing.T) {
	n := newServerNotices()
	n.disturb("app-1", true)
	n.disturb("app-1", true)
	n.disturb("app-1", false)
	told := time.Now()
	assert.Assert(t, n.excused("entry-3", 1, told), "a fault is in progress")
	n.disturb("app-1", false)
	assert.Assert(t, n.excused("entry-3", 1, told), "it ended after the notice")
	assert.Assert(t, !n.excused("entry-3", 0, told), "another server's link")
	assert.Assert(t, n.excused("entry-3", 1, time.Now()), "the link may have held the request")
	assert.Assert(t, !n.excused("entry-3", 1, time.Now().Add(heldDelivery)))
}

// A VM that forwards a request hears nothing of the server's notices, nor does one that has closed the connection. The VM that
// sent it does.
func TestNoticeBindsTheSender(t *testing.T) {
	for _, c := range []struct {
		told, sender string // the VM that sent the first request, and the one that sent the next ones; the call was to entry-1
		violates     bool
	}{
		{"entry-1", "entry-1", true},
		{"entry-3", "entry-3", true},
		{"entry-3", "entry-1", false},
		{"entry-1", "entry-3", false},
		{"", "entry-1", false},
		{"entry-1", "", true},
	} {
		n, request := newServerNotices(), "1.orders-0-0"
		n.servers[0].pausing, n.servers[0].leaving = true, true
		assert.Assert(t, n.announce(httptest.NewRecorder(), 0, request, c.told))
		n.servers[0].pausing, n.servers[0].leaving = false, false
		for _, told := range []map[string]time.Time{n.servers[0].toldPause, n.servers[0].toldLeaving} {
			for vm, at := range told {
				told[vm] = at.Add(-pauseFor + pauseSlack)
			}
		}
		for range pauseExcess + 1 {
			n.announce(httptest.NewRecorder(), 0, request, c.sender)
		}
		assert.Equal(t, len(n.violations) > 0, c.violates, "%+v", c)
	}
}
