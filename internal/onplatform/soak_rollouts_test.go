package onplatform

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// rolledService is the service whose releases are rolled out, and reusingService one without routes, whose
	// servers get the addresses of stopped ones.
	rolledService, reusingService = "rolled", "reusing"
	// rolledClients send about the requests per second of the tests of rollouts.
	rolledClients = 12
	// releaseSize is the number of servers of a release.
	releaseSize = 4
	// rolledHost is the host of the first server of a release, rolledStub that of the stub behind its link.
	rolledHost, rolledStub = 230, 240
	// stopDelay is the time for which stopped servers of an old release still record requests.
	stopDelay = 2 * time.Second
	// maxOrderDelay is the longest time for which servers of a new release are listed before the order.
	maxOrderDelay = time.Second
	// rolloutPoll is the interval of reads of a rollout's state, which go to one control VM each.
	rolloutPoll = 100 * time.Millisecond
)

// soakReleases are the servers of a service whose releases are rolled out, one after the other. It records
// requests that run on the wrong server, and answers of control that contradict each other.
type soakReleases struct {
	run *soakRun

	mu         sync.Mutex // guards the rest
	hosts      [2 * releaseSize]occupant
	started    int    // number of servers so far
	current    string // the release that gets requests without a rollout
	rollout    *soakRollout
	outcomes   []string // of the rollouts that ended
	violations []string
}

// occupant is the server at an address. The zero value is that of an unused address.
type occupant struct{ id, service, release string }

// soakRollout is a rollout and what its servers observed.
type soakRollout struct {
	*releaseServers
	acked time.Time // when the order was acknowledged
	ended time.Time // when an end was reported, and that state
	state string
}

// newSoakReleases serves the addresses of the releases; the first release is running.
func newSoakReleases(r *soakRun) *soakReleases {
	s := &soakReleases{run: r, current: "v1"}
	s.rollout = s.newRollout("")
	for i := range s.hosts {
		r.serveStub(r.address(rolledStub+i, listPort), func(w http.ResponseWriter, request *http.Request) { s.handle(i, w, request) })
		r.endpointLink(fmt.Sprint("rolled-", i), r.address(rolledHost+i, listPort), r.address(rolledStub+i, listPort))
	}
	s.occupy(0, rolledService, s.current)
	return s
}

// newRollout returns a rollout that has not been ordered.
func (s *soakReleases) newRollout(to string) *soakRollout {
	return &soakRollout{releaseServers: &releaseServers{d: s.run.deployment, to: to, arrivals: map[string][]time.Time{}, inFlight: map[string]int{}}}
}

// occupy starts servers on the hosts from first on, under new IDs; with an empty service it stops those there.
func (s *soakReleases) occupy(first int, service, release string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := first; i < first+releaseSize; i++ {
		s.started++
		if service == "" {
			s.hosts[i] = occupant{}
			continue
		}
		s.hosts[i] = occupant{id: fmt.Sprint(service, "-", s.started), service: service, release: release}
	}
}

// list returns the entries of the server list.
func (s *soakReleases) list() (entries []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, o := range s.hosts {
		if o.id != "" {
			entries = append(entries, fmt.Sprintf(`{"id":%q,"service":%q,"address":%q,"zone":"a","version":%q,"slots":16,"state":"ready","coldRemainingMs":0}`,
				o.id, o.service, s.run.address(rolledHost+i, listPort), o.release))
		}
	}
	return entries
}

// handle runs a request at the server of a host.
func (s *soakReleases) handle(host int, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	s.mu.Lock()
	o, rollout := s.hosts[host], s.rollout
	s.mu.Unlock()
	if o.id == "" {
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	if misdirected(w, r, o.id) || r.URL.Path == "/health" {
		return
	}
	s.mu.Lock()
	if violation := s.forbids(o, time.Now()); violation != "" {
		s.violations = append(s.violations, fmt.Sprintf("request %s reached %s with release %s at %v: %s", id, o.id, o.release, time.Since(s.run.startedAt), violation))
	}
	s.mu.Unlock()
	s.run.servers.countRun(id)
	rollout.handle(o.id, o.release, w, r)
}

// forbids returns why no request may run on a server, or "". The caller holds the mutex.
func (s *soakReleases) forbids(o occupant, now time.Time) string {
	r := s.rollout
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case o.service != rolledService:
		return "it belongs to another service"
	case o.release != s.current && o.release != r.to:
		return "no rollout to the release"
	case o.release == r.to && o.release != s.current && r.ordered.IsZero():
		return "the rollout has not been ordered"
	case o.release == r.to && r.state == "rolled_back" && now.Sub(r.ended) > rollbackTime:
		return fmt.Sprintf("the rollback was reported %v before", now.Sub(r.ended))
	case o.release != r.to && r.state == "completed":
		return fmt.Sprintf("the completion was reported %v before", now.Sub(r.ended))
	}
	return ""
}

// startRollouts rolls out releases one after the other, the last one ordered before the end, and returns a
// function that waits for the end of the last one.
func (s *soakReleases) startRollouts(seed uint64, end time.Time) (wait func()) {
	random := rand.New(rand.NewPCG(seed, 21))
	var group sync.WaitGroup
	group.Go(func() {
		for n, first := 2, releaseSize; time.Now().Before(end) || n == 2; n++ {
			if s.rollOut(random, fmt.Sprint("v", n), first) {
				first = releaseSize - first
			}
		}
	})
	return group.Wait
}

// rollOut starts servers of a release on the hosts from first on, orders the rollout and waits for its end.
// It reports whether the release has replaced the former one, whose addresses then belong to servers of
// another service.
func (s *soakReleases) rollOut(random *rand.Rand, to string, first int) (completed bool) {
	r := s.newRollout(to)
	quality := "good"
	if n := random.IntN(len(badReleases) + 1); n < len(badReleases) {
		r.badness, quality = badReleases[n], fmt.Sprintf("bad %+v", badReleases[n])
	}
	s.mu.Lock()
	s.rollout = r
	s.mu.Unlock()
	s.occupy(first, rolledService, to)
	time.Sleep(time.Duration(random.Int64N(int64(maxOrderDelay))))
	ended := s.order(r, random) && s.run.within(rolloutDuration+recoveryBound, func() bool { return s.read(r, random) })
	time.Sleep(time.Until(r.acked.Add(rolloutDuration)))
	for stop := time.Now().Add(stopDelay); time.Now().Before(stop); time.Sleep(rolloutPoll) {
		s.read(r, random)
	}
	completed = r.state == "completed"
	s.mu.Lock()
	if !ended {
		s.violations = append(s.violations, fmt.Sprintf("the rollout to %s did not end within %v after its deadline", to, recoveryBound))
	}
	s.violations = append(s.violations, r.violations()...)
	s.outcomes = append(s.outcomes, fmt.Sprintf("%s (%s): %s %v after the order, %d requests", to, quality, r.state, r.ended.Sub(r.ordered).Round(time.Millisecond), len(r.arrivals[to])))
	if completed {
		s.current, first = to, releaseSize-first
	}
	s.mu.Unlock()
	if completed {
		s.occupy(first, reusingService, "")
	} else {
		s.occupy(first, "", "")
	}
	return completed
}

// order sends the order to a control VM after the other until it is acknowledged.
func (s *soakReleases) order(r *soakRollout, random *rand.Rand) (acked bool) {
	r.mu.Lock()
	r.ordered = time.Now()
	r.mu.Unlock()
	body := fmt.Sprintf(`{"service":%q,"to":%q,"durationS":%g}`, rolledService, r.to, rolloutDuration.Seconds())
	s.run.within(waitTimeout, func() bool {
		status, reply := sendRequest("POST", "http://"+s.run.address(1+random.IntN(soakControlVMs), operatorPort)+"/v1/rollouts/start", "", body, nil)
		if status != http.StatusOK && status != http.StatusServiceUnavailable && status != 0 {
			s.violate(fmt.Sprintf("the order of %s was refused: %d %s", r.to, status, reply))
		}
		acked = status == http.StatusOK
		return acked
	})
	r.acked = time.Now()
	return acked
}

// read checks the state that a control VM returns of a rollout whose order was acknowledged, and reports
// whether the rollout has ended.
func (s *soakReleases) read(r *soakRollout, random *rand.Rand) (ended bool) {
	n := 1 + random.IntN(soakControlVMs)
	status, body := sendRequest("GET", "http://"+s.run.address(n, operatorPort)+"/v1/rollouts/"+rolledService+"/get", "", "", nil)
	if status == http.StatusServiceUnavailable || status == 0 {
		return false
	}
	var reply struct{ State, To string }
	if status != http.StatusOK || json.Unmarshal([]byte(body), &reply) != nil || reply.To != r.to || r.state != "" && reply.State != r.state {
		s.violate(fmt.Sprintf("core-%d has lost the rollout to %s, whose last state was %q: %d %s", n, r.to, r.state, status, body))
		return false
	}
	if reply.State == "running" || r.state != "" {
		return r.state != ""
	}
	r.mu.Lock()
	r.state, r.ended = reply.State, time.Now()
	running := r.inFlight[s.current]
	r.mu.Unlock()
	if reply.State == "completed" && running > 0 {
		s.violate(fmt.Sprintf("the rollout to %s was reported as completed while %d requests were on the old servers", r.to, running))
	}
	return true
}

// violate records a violation.
func (s *soakReleases) violate(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf("%s (%v)", text, time.Since(s.run.startedAt).Round(time.Millisecond)))
}

// violations returns the violated bounds on the requests at a bad release.
func (r *soakRollout) violations() (all []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.badShare == 0 {
		return nil
	}
	exposed, requests, last := r.exposure(r.ordered, r.acked.Add(rolloutDuration))
	if float64(exposed) > exposureShare*float64(requests)+exposureSlack {
		all = append(all, fmt.Sprintf("bad release %s got %d of %d requests", r.to, exposed, requests))
	}
	if len(r.bad) >= badBefore {
		if late := last.Sub(r.bad[badBefore-1]); late > rollbackTime {
			all = append(all, fmt.Sprintf("bad release %s got a request %v after its %dth bad response", r.to, late, badBefore))
		}
	}
	return all
}

// check returns the violations of all rollouts.
func (s *soakReleases) check() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.violations
}
