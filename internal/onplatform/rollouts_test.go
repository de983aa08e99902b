package onplatform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"eelgrasshollow/internal/eelctl"

	"gotest.tools/v3/assert"
)

const (
	// rolloutDuration is that of the orders of the tests; exposureShare, exposureSlack and rollbackTime
	// are the bounds in the settings.
	rolloutDuration = 12 * time.Second
	exposureShare   = 0.1
	exposureSlack   = 50
	rollbackTime    = 5 * time.Second
	// badBefore is the number of bad responses after which rollbackTime begins.
	badBefore = 50
	// workTime is the time that a server takes for a response.
	workTime = 80 * time.Millisecond
)

// badness is how bad a new release is. The zero value is that of a good one.
type badness struct {
	// badShare of the responses are bad from badFrom after the order on: they fail, or take slowFactor as
	// long if that is not 0.
	badShare   float64
	badFrom    time.Duration
	slowFactor int
}

// healthPath is the path of the service's health checks.
const healthPath = "/health"

// releaseServers are the servers of two releases of a service.
type releaseServers struct {
	d  *deployment
	to string // new release
	badness

	mu           sync.Mutex // guards the rest
	releases     map[string]string
	arrivals     map[string][]time.Time // by release, without health checks
	healthChecks map[string]int         // by release
	inFlight     map[string]int         // by release
	bad          []time.Time
	ordered      time.Time // when the new release was started
}

// start starts n servers of a release on hosts from first on, and lists them.
func (s *releaseServers) start(release string, first, n int) {
	for i := range n {
		address := s.d.address(first+i, listPort)
		s.d.serveStub(address, func(w http.ResponseWriter, r *http.Request) { s.handle(s.id(address), release, w, r) })
		s.mu.Lock()
		s.releases[address] = release
		s.mu.Unlock()
	}
}

// id returns the ID of the server at an address.
func (*releaseServers) id(address string) string { return "i-" + address }

// handle runs a request at the server with the ID self.
func (s *releaseServers) handle(self, release string, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == healthPath {
		// VMs that got no response check whether the server can be reached. That runs no request.
		s.mu.Lock()
		s.healthChecks[release]++
		s.mu.Unlock()
		w.Header().Set("X-Instance-Id", self)
		return
	}
	s.mu.Lock()
	s.arrivals[release] = append(s.arrivals[release], time.Now())
	s.inFlight[release]++
	badNow := release == s.to && !s.ordered.IsZero() && time.Since(s.ordered) >= s.badFrom
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.inFlight[release]--
	}()
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(r.Header.Get("X-Request-Id")))
	const parts = 1000
	bad := badNow && float64(hash.Sum32()%parts) < s.badShare*parts
	if bad && s.slowFactor > 0 {
		time.Sleep(time.Duration(s.slowFactor) * workTime)
	} else {
		time.Sleep(workTime)
	}
	h := w.Header()
	h.Set("X-Instance-Id", self)
	h.Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	h.Set("X-Response-Stamp", "stamp")
	if bad {
		s.mu.Lock()
		s.bad = append(s.bad, time.Now())
		s.mu.Unlock()
	}
	if bad && s.slowFactor == 0 {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = fmt.Fprint(w, release, " ", r.Header.Get("X-Request-Id"))
}

// exposure returns the number of requests at the new release and at both from a time until another one, and when
// the last one of all came to the new release. The caller holds the mutex.
func (s *releaseServers) exposure(from, until time.Time) (exposed, all int, last time.Time) {
	for release, arrivals := range s.arrivals {
		for _, at := range arrivals {
			if release == s.to && at.After(last) {
				last = at
			}
			if at.Before(from) || at.After(until) {
				continue
			}
			all++
			if release == s.to {
				exposed++
			}
		}
	}
	return exposed, all, last
}

// list serves the platform's list of servers.
func (s *releaseServers) list(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var entries []string
	for address, release := range s.releases {
		entries = append(entries, fmt.Sprintf(`{"id":%q,"service":"app","address":%q,"zone":"a","version":%q,"slots":16,"state":"ready","coldRemainingMs":0}`, s.id(address), address, release))
	}
	_, _ = fmt.Fprintf(w, `{"instances":[%s],"nextToken":null}`, strings.Join(entries, ","))
}

// rolloutBounds are the settings' bounds of deployments with rollouts.
var rolloutBounds = map[string]any{"exposureShare": exposureShare, "exposureSlack": exposureSlack, "rollbackMs": rollbackTime.Milliseconds(), "ackMs": 5000}

// badReleases are bad from the start, slow, or bad only some time after the order.
var badReleases = []badness{{badShare: 0.3}, {badShare: 0.5, slowFactor: 5}, {badShare: 0.5, badFrom: 4 * time.Second}}

// rolloutRun is a deployment with traffic and servers of two releases.
type rolloutRun struct {
	*deployment
	servers *releaseServers
	wg      sync.WaitGroup
	stop    chan struct{}

	mu       sync.Mutex
	statuses map[int]int // of the responses to clients since the last order
	sent     int
}

// newRolloutRun starts three control and two entry daemons, six servers with v1, and traffic. servers says
// how bad the new release is.
func newRolloutRun(t *testing.T, servers *releaseServers) *rolloutRun {
	d := newEmptyDeployment(t, 1000)
	d.bounds = rolloutBounds
	d.operatorTokens = filepath.Join(d.dir, "tokens")
	assert.NilError(t, os.WriteFile(d.operatorTokens, []byte("ana secret\n"), 0o600))
	servers.to = "v2"
	servers.d, servers.releases, servers.arrivals, servers.inFlight = d, map[string]string{}, map[string][]time.Time{}, map[string]int{}
	servers.healthChecks = map[string]int{}
	r := &rolloutRun{deployment: d, servers: servers, stop: make(chan struct{}), statuses: map[int]int{}}
	servers.start("v1", 201, 6)
	d.serveStub(d.address(200, listPort), servers.list)
	for n := 1; n <= 3; n++ {
		d.start(controlName(n), n, true)
	}
	for n := 1; n <= 2; n++ {
		d.start(entryName(n), entryHost(n), true)
	}
	const config = `{"version":1,"routes":[{"name":"a","host":"h.example","pathPrefix":"/a/","kind":"idempotent","timeoutMs":2000,"targetLatencyMs":500,"service":"app","maxAttempts":2,"public":true},
	 {"name":"b","host":"h.example","pathPrefix":"/b/","kind":"non_idempotent","timeoutMs":2000,"targetLatencyMs":500,"service":"app","maxAttempts":1,"public":true}],
	 "services":[{"name":"app","healthPath":"` + healthPath + `","maxConns":9}],"limits":{"maxBodyBytes":1000},"tenants":[]}`
	d.eventually("a configuration is acknowledged", func() bool {
		status, _ := sendRequest("POST", "http://"+d.address(1, operatorPort)+"/v1/config/put", "", config, nil)
		return status == http.StatusOK
	})
	for n := 1; n <= 2; n++ {
		d.eventually("each VM serves", func() bool { return r.request(n, 0) == http.StatusOK })
	}
	status, _ := sendRequest("GET", "http://"+d.address(1, operatorPort)+"/v1/rollouts/app/get", "", "", nil)
	assert.Equal(t, status, http.StatusNotFound)
	t.Cleanup(r.end)
	const interval = 14 * time.Millisecond
	r.wg.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-r.stop:
				return
			case <-ticker.C:
			}
			r.wg.Go(func() {
				status := r.request(1+n%2, n)
				r.mu.Lock()
				defer r.mu.Unlock()
				r.sent++
				r.statuses[status]++
			})
		}
	})
	return r
}

// request sends the n-th request at an entry VM. Every fourth one is not idempotent.
func (r *rolloutRun) request(vm, n int) int {
	path := "/a/x"
	if n%4 == 3 {
		path = "/b/x"
	}
	status, _ := sendRequest("POST", "http://"+r.address(entryHost(vm), clientPort)+path, "h.example", "x", http.Header{
		"X-Request-Id": {fmt.Sprint("id-", n, "-", time.Now().UnixNano())}, "X-Deadline-Ms": {"2000"},
	})
	return status
}

// end ends the traffic.
func (r *rolloutRun) end() {
	select {
	case <-r.stop:
	default:
		close(r.stop)
	}
	r.wg.Wait()
}

// order starts servers with v2 and orders the rollout, as an operator who retries at the next VM.
func (r *rolloutRun) order() {
	r.servers.mu.Lock()
	r.servers.ordered = time.Now()
	r.servers.mu.Unlock()
	r.servers.start("v2", 211, 6)
	r.mu.Lock()
	r.sent, r.statuses = 0, map[int]int{}
	r.mu.Unlock()
	n := 0
	r.eventually("the order is acknowledged", func() bool {
		n++
		status, body := sendRequest("POST", "http://"+r.address(1+n%3, operatorPort)+"/v1/rollouts/start", "",
			fmt.Sprintf(`{"service":"app","to":"v2","durationS":%g}`, rolloutDuration.Seconds()), nil)
		assert.Assert(r.t, status == http.StatusOK || status == http.StatusServiceUnavailable || status == 0, "%d %s", status, body)
		return status == http.StatusOK
	})
	r.eventually("a different order is refused", func() bool {
		n++
		status, body := sendRequest("POST", "http://"+r.address(1+n%3, operatorPort)+"/v1/rollouts/start", "", `{"service":"app","to":"v3","durationS":5}`, nil)
		assert.Assert(r.t, status != http.StatusOK, body)
		return status == http.StatusConflict
	})
}

// state returns the state of the rollout that some control VM gives, or "".
func (r *rolloutRun) state() string {
	for n := 1; n <= 3; n++ {
		status, body := sendRequest("GET", "http://"+r.address(n, operatorPort)+"/v1/rollouts/app/get", "", "", nil)
		var reply struct{ State, To string }
		if status == http.StatusOK && json.Unmarshal([]byte(body), &reply) == nil {
			assert.Equal(r.t, reply.To, "v2")
			return reply.State
		}
		assert.Assert(r.t, status == http.StatusServiceUnavailable || status == 0, "%d %s", status, body)
	}
	return ""
}

// awaitEnd waits until the rollout has ended and returns its state and the time since start.
func (r *rolloutRun) awaitEnd(start time.Time) (string, time.Duration) {
	state := ""
	r.eventually("the rollout ends", func() bool {
		state = r.state()
		return state == "completed" || state == "rolled_back"
	})
	return state, time.Since(start)
}

// checkDrained fails the test unless no request is on a server with v1, nor comes to one later.
func (r *rolloutRun) checkDrained() {
	r.servers.mu.Lock()
	inFlight, arrived := r.servers.inFlight["v1"], len(r.servers.arrivals["v1"])
	r.servers.mu.Unlock()
	assert.Equal(r.t, inFlight, 0, "requests on old servers at completion")
	time.Sleep(2 * time.Second)
	r.servers.mu.Lock()
	defer r.servers.mu.Unlock()
	assert.Equal(r.t, len(r.servers.arrivals["v1"]), arrived, "requests to old servers after completion")
}

// Guards against a good release that is not completed in time, and against requests on old servers when
// the platform stops them, with the real daemons.
func TestDaemonsCompleteGoodRelease(t *testing.T) {
	r := newRolloutRun(t, &releaseServers{})
	start := time.Now()
	r.order()
	state, took := r.awaitEnd(start)
	assert.Equal(t, state, "completed")
	assert.Assert(t, took <= rolloutDuration, "took %v", took)
	r.checkDrained()
	var out, errOut bytes.Buffer
	code := eelctl.Main(t.Context(), []string{"rollout", "show", "app", "--token-file", r.operatorTokens, "--server", "http://" + r.address(2, operatorPort)}, &out, &errOut)
	assert.Equal(t, code, 0, errOut.String())
	assert.Assert(t, strings.Contains(out.String(), "completed"), out.String())
	r.checkDryRun()
	r.end()
	t.Logf("completed after %v; %d requests, by status %v", took, r.sent, r.statuses)
	assert.Equal(t, r.statuses[http.StatusOK], r.sent)
	for n := 1; n <= 2; n++ {
		r.checkMetrics(entryHost(n), `eelgrass_rollout_attempts_total{release="new",result="answered",service="app"}`)
	}
}

// checkDryRun fails the test unless eelctl tells that all entry VMs would send a request to a server with v2. Guards against
// daemons that don't serve dry runs.
func (r *rolloutRun) checkDryRun() {
	var out, errOut bytes.Buffer
	code := eelctl.Main(r.t.Context(), []string{"route", "explain", "--route", "a", "-o", "json", "--token-file", r.operatorTokens,
		"--server", "http://" + r.address(3, operatorPort)}, &out, &errOut)
	assert.Equal(r.t, code, 0, errOut.String())
	var answer struct {
		VMs []struct {
			Verdict, Service string
			Placement        struct {
				Endpoint   string
				Candidates []struct{ Endpoint, Release string }
				Dropped    []struct{ Endpoint, Reason string }
			}
		}
	}
	assert.NilError(r.t, json.Unmarshal(out.Bytes(), &answer))
	assert.Equal(r.t, len(answer.VMs), 2)
	for _, vm := range answer.VMs {
		assert.Assert(r.t, vm.Verdict == "send" && vm.Service == "app", out.String())
		assert.Assert(r.t, len(vm.Placement.Candidates) > 0, out.String())
		for _, c := range vm.Placement.Candidates {
			assert.Equal(r.t, c.Release, "v2")
		}
		assert.Equal(r.t, len(vm.Placement.Candidates)+len(vm.Placement.Dropped), 12)
	}
}

// Guards against a bad release that gets more requests than the bounds allow, and against late ones, with
// the real daemons: one whose responses fail, are slow, or fail only some time after the order.
func TestDaemonsRollBackBadRelease(t *testing.T) {
	t.Run("failing", func(t *testing.T) { testBadRelease(t, &releaseServers{badness: badReleases[0]}) })
	t.Run("slow", func(t *testing.T) { testBadRelease(t, &releaseServers{badness: badReleases[1]}) })
	t.Run("failing-later", func(t *testing.T) { testBadRelease(t, &releaseServers{badness: badReleases[2]}) })
}

func testBadRelease(t *testing.T, servers *releaseServers) {
	r := newRolloutRun(t, servers)
	start := time.Now()
	r.order()
	state, took := r.awaitEnd(start)
	assert.Equal(t, state, "rolled_back")
	assert.Assert(t, took <= rolloutDuration, "took %v", took)
	time.Sleep(time.Until(start.Add(rolloutDuration)))
	r.end()
	r.servers.mu.Lock()
	defer r.servers.mu.Unlock()
	exposed, all, last := r.servers.exposure(start, time.Now())
	t.Logf("rolled back after %v; %d of %d requests at the new release, %d bad, the last one sent after %v", took, exposed, all, len(r.servers.bad), last.Sub(start))
	assert.Assert(t, exposed > 0 && float64(exposed) <= exposureShare*float64(all)+exposureSlack, "%d of %d", exposed, all)
	if len(r.servers.bad) >= badBefore {
		assert.Assert(t, last.Sub(r.servers.bad[badBefore-1]) <= rollbackTime)
	}
}

// Guards against an order that is not acknowledged in time when the leader is lost, and against a loss of
// the order, of its progress or of its outcome when all control daemons restart at the same time, during
// the rollout and after it.
func TestDaemonsKeepRolloutOverControlRestart(t *testing.T) {
	const ackTime = 5 * time.Second
	r := newRolloutRun(t, &releaseServers{})
	leader := r.leader()
	r.kill(leader)
	start := time.Now()
	r.order()
	acknowledged := time.Since(start)
	t.Logf("acknowledged, and a different order refused, %v after the loss of the leader", acknowledged)
	assert.Assert(t, acknowledged < ackTime)
	r.start(leader, hostNumber(leader), false)
	time.Sleep(2 * time.Second)
	r.killAndRestart(controlNames)
	r.eventually("the state is known again", func() bool { return r.state() != "" })
	assert.Equal(t, r.state(), "running")
	state, took := r.awaitEnd(start)
	t.Logf("%s after %v", state, took)
	assert.Equal(t, state, "completed")
	assert.Assert(t, took <= rolloutDuration, "took %v", took)
	r.checkDrained()
	r.killAndRestart(controlNames)
	r.eventually("the outcome is known again", func() bool { return r.state() != "" })
	assert.Equal(t, r.state(), "completed")
}

// Guards against requests that an entry VM sends to a release that was rolled back while the VM was
// suspended, with the real daemons.
func TestDaemonsSuspendedVMSendsNothingToRolledBackRelease(t *testing.T) {
	r := newRolloutRun(t, &releaseServers{badness: badness{badShare: 0.5}})
	arrivals := func() int {
		r.servers.mu.Lock()
		defer r.servers.mu.Unlock()
		return len(r.servers.arrivals["v2"])
	}
	start := time.Now()
	r.order()
	r.eventually("the new release gets requests", func() bool { return arrivals() > 0 })
	process := r.commands[entryName(2)].Process
	assert.NilError(t, process.Signal(syscall.SIGSTOP))
	state, took := r.awaitEnd(start)
	assert.Equal(t, state, "rolled_back")
	const applyTime = time.Second // in which the other VM learns it, and requests at the servers end
	time.Sleep(applyTime)
	healthChecks := func() int {
		r.servers.mu.Lock()
		defer r.servers.mu.Unlock()
		return r.servers.healthChecks["v2"]
	}
	before, checked := arrivals(), healthChecks()
	assert.NilError(t, process.Signal(syscall.SIGCONT))
	r.eventually("the VM serves again", func() bool { return r.request(2, 0) == http.StatusOK })
	time.Sleep(2 * time.Second)
	t.Logf("rolled back after %v; %d requests at the new release before the VM went on, %d and %d health checks after", took, before, arrivals()-before, healthChecks()-checked)
	assert.Equal(t, arrivals(), before)
}
