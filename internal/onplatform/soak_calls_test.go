package onplatform

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"eelgrasshollow/internal/oracle"
)

const (
	streamEvents = 8
	// smallRate and smallBurst are the grant of the account that asks for more, in calls;
	// grantSlack and grantOver are what the settings allow beyond it.
	smallRate, smallBurst = 20, 20
	grantSlack, grantOver = 30, 0.1
	// readLag is the platform's bound on the time until reads name an acknowledged version.
	readLag = 2 * time.Second
)

// servers are the stand-ins for the servers of a service; they count what they run.
type servers struct {
	refusing atomic.Int32 // faults that make them refuse

	mu     sync.Mutex
	random *rand.Rand
	runs   map[string]int // by request
}

func newServers() *servers {
	return &servers{runs: map[string]int{}, random: rand.New(rand.NewPCG(7, 7))}
}

// answer runs a request, or says that it has not.
func (s *servers) answer(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Stamp", "stamp")
	_, _ = io.ReadAll(r.Body) // a body that is cut off belongs to a request that is given up
	s.mu.Lock()
	refuse := s.refusing.Load() > 0 && s.random.IntN(2) == 0
	work := time.Duration(s.random.IntN(60)) * time.Millisecond
	if !refuse {
		s.runs[id]++
	}
	s.mu.Unlock()
	if refuse {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(work)
	if !strings.HasPrefix(r.URL.Path, "/streams/") {
		_, _ = io.WriteString(w, r.Header.Get("X-Tenant")+" "+id)
		return
	}
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // none begins the stream
	w.Header().Set("Content-Type", "text/event-stream")
	for n := from + 1; n <= streamEvents; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, id, n)
		if http.NewResponseController(w).Flush() != nil {
			return // the router has gone, and sees the end by itself
		}
		time.Sleep(work / streamEvents)
	}
}

// list answers reads of the list with the servers' links.
func (w *world) list(rw http.ResponseWriter, _ *http.Request) {
	var all []string
	for n := range soakServers {
		all = append(all, fmt.Sprintf(`{"id":"i-%d","service":"app","address":"%s","zone":"a","slots":20,"state":"ready"}`, n, w.at(201+n, listPort)))
	}
	_, _ = fmt.Fprintf(rw, `{"instances":[%s],"nextToken":null}`, strings.Join(all, ","))
}

// document is the configuration of a version.
func document(version int64) string {
	route := func(name, kind string, attempts int, more string) string {
		return fmt.Sprintf(`{"name":"%s","host":"h.example","pathPrefix":"/%s/","kind":"%s","timeoutMs":%d,"targetLatencyMs":300,"service":"app","maxAttempts":%d,"public":false%s}`,
			name, name, kind, 2000+version%2, attempts, more)
	}
	routes := []string{
		route("orders", "non_idempotent", 1, ""), route("reads", "idempotent", 2, ""), route("streams", "streaming", 2, `,"resumable":true`),
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"app","healthPath":"/health","maxConns":300}],"limits":{"maxBodyBytes":1000},
	 "tenants":[{"name":"wide","apiKeys":["wide-key"],"unit":"token_count","plainTokens":1,"ratePerS":100000,"burst":100000},
	 {"name":"small","apiKeys":["small-key"],"unit":"token_count","plainTokens":1,"ratePerS":%d,"burst":%d}]}`,
		version, strings.Join(routes, ","), smallRate, smallBurst)
}

// change sends the next version to a control VM, the same again until it is acknowledged.
func (w *world) change(n int) bool {
	version := w.asked.Load()
	if version == w.acked.Load() {
		version = w.asked.Add(1)
	}
	status, _ := ask("POST", "http://"+w.at(n, operatorPort)+"/v1/config/put", "", document(version), nil)
	if status == http.StatusOK {
		w.acked.Store(version)
	}
	return status == http.StatusOK
}

// read returns the version that a control VM names; false when it names none.
func (w *world) read(n int) (int64, bool) {
	status, text := ask("GET", "http://"+w.at(n, operatorPort)+"/v1/config/get", "", "", nil)
	var d struct{ Version int64 }
	if status != http.StatusOK || json.Unmarshal([]byte(text), &d) != nil {
		return 0, false
	}
	return d.Version, true
}

// changing changes the configuration again and again, and reads it back.
func (w *world) changing() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() {
		r := rand.New(rand.NewPCG(11, 11))
		for ctx.Err() == nil {
			w.change(1 + r.IntN(soakCore))
			time.Sleep(time.Duration(r.IntN(800)) * time.Millisecond)
		}
	})
	group.Go(func() {
		r := rand.New(rand.NewPCG(12, 12))
		for ctx.Err() == nil {
			known := w.acked.Load()
			time.Sleep(readLag)
			n := 1 + r.IntN(soakCore)
			if v, ok := w.read(n); ok && v < known {
				w.t.Errorf("core-%d names version %d, %v after version %d was acknowledged", n, v, readLag, known)
			}
		}
	})
	return func() { cancel(); group.Wait() }
}

// made is one call and what its caller saw.
type made struct {
	id, path, account string
	from, to          time.Duration
	status            int // 0 when no answer came
	body              string
	whole             bool // the answer ended as it should
}

type calls struct {
	world *world
	mu    sync.Mutex
	all   []made
}

func newCalls(w *world) *calls { return &calls{world: w} }

// run keeps callers at work until stop; each keeps its connections as long as they last.
func (c *calls) run(n int) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() {
			r := rand.New(rand.NewPCG(uint64(i), 3))
			client := &http.Client{Transport: &http.Transport{}, Timeout: 3 * time.Second}
			defer client.CloseIdleConnections()
			for k := 0; ctx.Err() == nil; k++ {
				path := []string{"orders", "reads", "streams"}[r.IntN(3)]
				account := []string{"wide", "small"}[i%2]
				m := c.call(client, 1+r.IntN(soakEntry), path, account, fmt.Sprintf("%d-%d", i, k))
				c.mu.Lock()
				c.all = append(c.all, m)
				c.mu.Unlock()
				time.Sleep(time.Duration(r.IntN(40)) * time.Millisecond)
			}
		})
	}
	return func() { cancel(); group.Wait() }
}

func (c *calls) call(client *http.Client, vm int, path, account, id string) (m made) {
	w := c.world
	m = made{id: id, path: path, account: account, from: time.Since(w.began)}
	defer func() { m.to = time.Since(w.began) }()
	method := map[string]string{"orders": "POST", "reads": "GET", "streams": "POST"}[path]
	request, err := http.NewRequest(method, "http://"+w.at(100+vm, callerPort)+"/"+path+"/x", strings.NewReader("order"))
	if err != nil {
		w.t.Error(err)
		return m
	}
	request.Host = "h.example"
	if method == "POST" {
		// With it the library would send the body again by itself on a connection that was dropped.
		request.GetBody = nil
	}
	request.Header = http.Header{"X-Request-Id": {id}, "X-Deadline-Ms": {"2000"}, "Authorization": {"Bearer " + account + "-key"}}
	response, err := client.Do(request)
	if err != nil {
		return m
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	m.status, m.body, m.whole = response.StatusCode, string(text), err == nil
	return m
}

// promised are the statuses that say a request has not run.
var promised = []int{400, 401, 404, 408, 413, 421, 429, 431, 503}

// judge checks the promises over all calls.
func (c *calls) judge() (broken []string) {
	c.world.servers.mu.Lock()
	defer c.world.servers.mu.Unlock()
	var small []oracle.Interval
	for _, m := range c.all {
		runs := c.world.servers.runs[m.id]
		if b := m.judge(runs); b != "" {
			broken = append(broken, fmt.Sprintf("%s %s of %s at %v to %v, status %d, ran %d times: %s", m.path, m.id, m.account, m.from, m.to, m.status, runs, b))
		}
		if m.account == "small" && runs > 0 {
			small = append(small, oracle.Interval{From: m.from, To: m.to, Tokens: 1})
		}
	}
	if over, bad := oracle.CheckIntervals(smallRate*(1+grantOver), smallBurst+grantSlack, small); bad {
		broken = append(broken, fmt.Sprintf("account small had %d tokens over its grant from %v to %v", over.Tokens, over.From, over.To))
	}
	return broken
}

// judge checks one call, which ran so often.
func (m made) judge(runs int) string {
	notRun, others := 0, 1
	if slices.Contains(promised, m.status) {
		notRun, others = 1, 0
	}
	if m.path != "orders" {
		runs = min(runs, 1) // these may be sent again
	}
	if b := oracle.CheckRuns(runs, notRun, others, m.status == http.StatusOK); b != "" {
		return b
	}
	if m.status != http.StatusOK {
		return ""
	}
	if m.path != "streams" {
		if want := m.account + " " + m.id; m.whole && m.body != want {
			return fmt.Sprintf("answered %q", m.body)
		}
		return ""
	}
	next := 1
	lines := bufio.NewScanner(strings.NewReader(m.body))
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if want := fmt.Sprintf("%s-%d", m.id, next); data != want && (m.whole || strings.HasSuffix(m.body, "\n\n")) {
			return fmt.Sprintf("event %q in the place of %q", data, want)
		}
		next++
	}
	if m.whole && next != streamEvents+1 {
		return fmt.Sprintf("looked whole after %d of %d events", next-1, streamEvents)
	}
	return ""
}

// summary counts the answers by status.
func (c *calls) summary() string {
	counts := map[int]int{}
	for _, m := range c.all {
		counts[m.status]++
	}
	var parts []string
	for _, status := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d: %d", status, counts[status]))
	}
	return strings.Join(parts, ", ")
}

// serves reports whether an entry VM answers a call of each kind.
func (w *world) serves(n int) bool {
	for _, path := range []string{"orders", "reads", "streams"} {
		status, _ := ask("POST", "http://"+w.at(entryHost(n), callerPort)+"/"+path+"/x", "h.example", "order", http.Header{
			"X-Request-Id": {fmt.Sprint("probe-", time.Now().UnixNano())}, "X-Deadline-Ms": {"2000"}, "Authorization": {"Bearer wide-key"},
		})
		if status != http.StatusOK {
			return false
		}
	}
	return true
}
