package onplatform

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// brittleService has brittleEndpoints endpoints, which run brittleSlots requests each and let brittleQueue more
	// wait, outside brittle periods. brittleClients ask for more than they can run.
	brittleService                                = "brittle"
	brittleEndpoints, brittleSlots, brittleQueue  = 4, 4, 8
	brittleClients                                = 32
	brittleClientPause                            = 300 * time.Millisecond
	brittleMinWork, brittleMaxWork, brittleOutage = 100 * time.Millisecond, 300 * time.Millisecond, 3 * time.Second
	// outagesAllowed and outageShare bound the outages in one period: a number and a share of the endpoints.
	outagesAllowed, outageShare = 2, 0.1
	// brittleWatched is the time at least for which endpoints may go down.
	brittleWatched            = 2 * time.Second
	brittleHost, brittleStubs = 150, 160
)

// brittleServers are the endpoints of brittleService. In a brittle period, they state Server-Brittle: N. From
// contactTime after its begin, they let no request wait, and an endpoint that must reject more than N requests within a
// second goes down.
type brittleServers struct {
	run   *soakRun
	inUse sync.Mutex // held during a period

	mu         sync.Mutex // guards the rest
	random     *rand.Rand
	endpoints  [brittleEndpoints]brittleEndpoint
	tolerated  int       // N, or 0 outside periods
	begin      time.Time // of the period
	outages    int       // in the period
	all        int       // outages in all periods
	violations []string
}

type brittleEndpoint struct {
	incarnation int
	down        bool
	present     int         // requests that run or wait
	slots       chan bool   // holds one value for each request that runs
	rejections  []time.Time // of the last second
}

// newBrittleServers serves the addresses of the endpoints.
func newBrittleServers(r *soakRun) *brittleServers {
	s := &brittleServers{run: r, random: rand.New(rand.NewPCG(8, 8))}
	for i := range s.endpoints {
		s.endpoints[i].slots = make(chan bool, brittleSlots)
		r.serveStub(r.address(brittleStubs+i, listPort), func(w http.ResponseWriter, request *http.Request) { s.handle(&s.endpoints[i], i, w, request) })
		r.endpointLink(fmt.Sprint("brittle-", i), r.address(brittleHost+i, listPort), r.address(brittleStubs+i, listPort))
	}
	return s
}

func (e *brittleEndpoint) id(i int) string { return fmt.Sprintf("brittle-%d-%d", i, e.incarnation) }

// list returns the entries of the server list, which also names endpoints that are down.
func (s *brittleServers) list() (entries []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.endpoints {
		entries = append(entries, fmt.Sprintf(`{"id":%q,"service":%q,"address":%q,"zone":"a","slots":%d,"state":"ready","version":"v1","coldRemainingMs":0}`,
			s.endpoints[i].id(i), brittleService, s.run.address(brittleHost+i, listPort), brittleSlots))
	}
	return entries
}

// handle runs a request at an endpoint, or rejects it.
func (s *brittleServers) handle(e *brittleEndpoint, i int, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	s.mu.Lock()
	if e.down {
		s.mu.Unlock()
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	if s.tolerated > 0 {
		w.Header().Set("Server-Brittle", strconv.Itoa(s.tolerated))
	}
	incarnation := e.incarnation
	if misdirected(w, r, e.id(i)) || r.URL.Path == "/health" {
		s.mu.Unlock()
		return
	}
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Stamp", "stamp")
	if !s.admit(e, i, time.Now()) {
		down := e.down
		s.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.present++
	work := brittleMinWork + time.Duration(s.random.Int64N(int64(brittleMaxWork-brittleMinWork)))
	s.mu.Unlock()

	e.slots <- true
	s.run.servers.countRun(id)
	time.Sleep(work)
	<-e.slots
	s.mu.Lock()
	e.present--
	lost := e.incarnation != incarnation || e.down
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprint(w, r.Header.Get("X-Tenant"), " ", id)
}

// admit reports whether an endpoint has room for a request. A rejection may take it down. The caller holds the mutex.
func (s *brittleServers) admit(e *brittleEndpoint, i int, now time.Time) bool {
	strict := s.tolerated > 0 && now.Sub(s.begin) >= contactTime
	room := brittleSlots
	if !strict {
		room += brittleQueue
	}
	if e.present < room {
		return true
	}
	if !strict {
		return false
	}
	kept := e.rejections[:0]
	for _, at := range append(e.rejections, now) {
		if now.Sub(at) < time.Second {
			kept = append(kept, at)
		}
	}
	e.rejections = kept
	if len(e.rejections) <= s.tolerated {
		return false
	}
	e.down, e.rejections = true, nil
	s.outages++
	s.all++
	s.run.t.Logf("%s goes down %v after the begin of a period in which %d rejections in a second are tolerated", e.id(i), now.Sub(s.begin), s.tolerated)
	time.AfterFunc(brittleOutage, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		e.down, e.incarnation = false, e.incarnation+1
	})
	return false
}

// brittlePeriod makes the endpoints brittle.
func (r *soakRun) brittlePeriod(_ string, hold time.Duration) {
	s := r.brittle
	if !s.inUse.TryLock() {
		return
	}
	defer s.inUse.Unlock()
	s.mu.Lock()
	s.tolerated, s.begin, s.outages = []int{1, 2, 5}[hold%3], time.Now(), 0
	s.mu.Unlock()
	time.Sleep(contactTime + brittleWatched + hold)
	s.mu.Lock()
	defer s.mu.Unlock()
	if float64(s.outages) > outagesAllowed+outageShare*brittleEndpoints {
		s.violations = append(s.violations, fmt.Sprintf("%d outages of %d endpoints in a period of %v, begun %v after the start, in which %d rejections in a second were tolerated",
			s.outages, brittleEndpoints, time.Since(s.begin), s.begin.Sub(r.startedAt), s.tolerated))
	}
	s.tolerated = 0
}

// check returns the violations in all periods.
func (s *brittleServers) check() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.violations
}
