package onplatform

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// badBody is the body of plain requests that end servers.
const badBody = "bad"

// crashingServers are servers that end when they get badBody or a prompt with the part "bad". A successor with
// another ID starts at the same address after restartAfter.
type crashingServers struct {
	d  *deployment
	mu sync.Mutex // guards the rest
	// servers holds the one at each address, nil while it is down; started counts them.
	servers map[string]*http.Server
	started int
	ids     map[string]string // by address; the list still names those that are down
	crashes int
	reached int  // bad requests
	over    bool // the test has ended
}

const restartAfter = time.Second

// start starts a server at an address.
func (s *crashingServers) start(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		return
	}
	s.started++
	id := fmt.Sprint("i-", s.started)
	s.ids[address] = id
	s.servers[address] = s.d.serveStub(address, func(w http.ResponseWriter, r *http.Request) { s.handle(address, id, w, r) })
}

func (s *crashingServers) handle(address, id string, w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", id)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if strings.Contains(r.Header.Get("X-Prompt-Prefix"), "bad:") || string(body) == badBody {
		s.crash(address)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Response-Stamp", "stamp")
	_, _ = fmt.Fprint(w, "sound")
}

func (s *crashingServers) crash(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reached++
	if server := s.servers[address]; server != nil {
		s.crashes++
		s.servers[address] = nil
		_ = server.Close()
		time.AfterFunc(restartAfter, func() { s.start(address) })
	}
}

// list serves the platform's list of servers.
func (s *crashingServers) list(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var entries []string
	for address, id := range s.ids {
		entries = append(entries, fmt.Sprintf(`{"id":"%s","service":"app","address":"%s","zone":"a","slots":6,"state":"ready","version":"v1","coldRemainingMs":0}`, id, address))
	}
	_, _ = fmt.Fprintf(w, `{"instances":[%s],"nextToken":null}`, strings.Join(entries, ","))
}

func (s *crashingServers) counts() (crashes, reached int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes, s.reached
}

// Guards against one prompt part that crashes server after server, with the real daemons.
func TestDaemonsQuarantinePromptPart(t *testing.T) {
	testQuarantine(t, "eelgrass_routing_quarantined_parts", func(n int, bad bool) (string, http.Header) {
		part := "sound"
		if bad {
			part = "bad"
		}
		return "x", http.Header{"X-Model": {"m"}, "X-Token-Usage": {"30,5"}, "X-Prompt-Prefix": {fmt.Sprintf("first:10,%s:10,own%d:10", part, n)}}
	})
}

// Guards against one plain request that comes again and crashes server after server, with the real
// daemons. Sound requests have the same path.
func TestDaemonsQuarantineRepeatedRequest(t *testing.T) {
	testQuarantine(t, "eelgrass_routing_quarantined_requests", func(n int, bad bool) (string, http.Header) {
		if bad {
			return badBody, http.Header{}
		}
		return fmt.Sprint("sound ", n), http.Header{}
	})
}

// testQuarantine checks that two entry VMs quarantine what crashes servers, as the gauge tells, and go
// on to serve sound requests. request returns the body and headers of the n-th request, a bad or a sound
// one.
func testQuarantine(t *testing.T, gauge string, request func(n int, bad bool) (string, http.Header)) {
	const lateSends = 3 // bad requests that may reach servers once the cause is known
	d := newEmptyDeployment(t, 1000)
	servers := &crashingServers{d: d, servers: map[string]*http.Server{}, ids: map[string]string{}}
	t.Cleanup(func() {
		servers.mu.Lock()
		defer servers.mu.Unlock()
		servers.over = true
	})
	for n := range 6 {
		servers.start(d.address(201+n, listPort))
	}
	d.serveStub(d.address(200, listPort), servers.list)
	for n := 1; n <= 3; n++ {
		d.start(controlName(n), n, true)
	}
	for n := 1; n <= 2; n++ {
		d.start(entryName(n), entryHost(n), true)
	}
	d.eventually("a configuration is acknowledged", func() bool { return d.putConfig(1, 1, "/a/") })
	requests := 0
	send := func(n int, bad bool) (int, string) {
		requests++
		body, header := request(requests, bad)
		for name, value := range map[string]string{"X-Request-Id": fmt.Sprint("id-", requests), "X-Deadline-Ms": "2000", "Authorization": "Bearer key"} {
			header.Set(name, value)
		}
		return sendRequest("POST", "http://"+d.address(entryHost(n), clientPort)+"/a/x", "h.example", body, header)
	}
	sound := func(n int) bool {
		status, body := send(n, false)
		return status == http.StatusOK && body == "sound"
	}
	for n := 1; n <= 2; n++ {
		d.eventually("each VM serves", func() bool { return sound(n) })
	}
	quarantined := func(n int) bool {
		_, text := sendRequest("GET", "http://"+d.address(entryHost(n), metricsPort)+"/metrics", "", "", nil)
		return strings.Contains(text, "\n"+gauge+" 1\n")
	}
	d.eventually("both VMs have the cause in quarantine", func() bool {
		for n := 1; n <= 2; n++ {
			send(n, true)
			sound(n)
		}
		return quarantined(1) && quarantined(2)
	})
	crashes, before := servers.counts()
	assert.Assert(t, crashes >= 3, "%d crashes", crashes)
	for range 20 {
		for n := 1; n <= 2; n++ {
			d.eventually("sound requests are served", func() bool { return sound(n) })
			status, body := send(n, true)
			assert.Assert(t, status != http.StatusServiceUnavailable || body == "quarantined\n", body)
		}
	}
	_, after := servers.counts()
	assert.Assert(t, after-before <= lateSends, "%d bad requests reached servers", after-before)
}
