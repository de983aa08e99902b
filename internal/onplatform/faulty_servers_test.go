package onplatform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"eelgrasshollow/internal/crowd"
)

// newFaultyDeployment starts a deployment with a faulty server, for the paths /plain/ and /events/, and a sound one.
func newFaultyDeployment(t *testing.T) (*deployment, *crowd.FaultyServer) {
	d := newEmptyDeployment(t, 1_000_000)
	d.memoryMB, d.controlMemoryMB = crowdEntryMB, crowdControlMB
	const instance = `{"id":"i-%d","service":"%s","address":"%s","zone":"a","slots":500,"state":"ready","version":"v1","coldRemainingMs":0}`
	d.serveStub(d.address(200, listPort), func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"instances":[`+instance+","+instance+`],"nextToken":null}`, 1, "faulty", d.address(201, listPort), 2, "app", d.address(202, listPort))
	})
	faulty := &crowd.FaultyServer{IDHeader: "X-Request-Id"}
	d.serveStub(d.address(201, listPort), faulty.ServeHTTP)
	d.serveStub(d.address(202, listPort), func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Stamp", "stamp")
		_, _ = fmt.Fprintf(w, "%s %d", r.Header.Get("X-Tenant"), n)
	})
	for n := 1; n <= 3; n++ {
		d.start(fmt.Sprint("core-", n), n, true)
	}
	d.start("entry-1", 11, true)
	const route = `{"name":"%s","host":"h.example","pathPrefix":"%s","kind":"%s","timeoutMs":3000,"targetLatencyMs":2900,"service":"%s","maxAttempts":1,"public":%v}`
	config := `{"version":1,"routes":[` + strings.Join([]string{
		fmt.Sprintf(route, "plain", "/plain/", "idempotent", "faulty", true), fmt.Sprintf(route, "events", "/events/", "streaming", "faulty", true),
		fmt.Sprintf(route, "ordinary", "/a/", "idempotent", "app", false),
	}, ",") + `],"services":[{"name":"faulty","healthPath":"/health","maxConns":900},{"name":"app","healthPath":"/health","maxConns":900}],"limits":{"maxBodyBytes":1000000},
	 "tenants":[{"name":"acc","apiKeys":["key"],"unit":"token_count","plainTokens":1,"ratePerS":100000,"burst":100000}]}`
	d.eventually("a configuration is acknowledged", func() bool { return d.putDocument(1, config) })
	d.eventually("the VM serves", d.servesOrdinary)
	return d, faulty
}

// TestCrowdOfEndlessResponses guards against a VM that keeps what a faulty server sends without end until its memory is used
// up and the requests of all its clients end with it. Many clients get such a response at once.
func TestCrowdOfEndlessResponses(t *testing.T) {
	const clients = 200
	d, faulty := newFaultyDeployment(t)
	const identity = "X-Request-Id: %s\r\nX-Response-Stamp: stamp\r\n"
	stated := crowd.Endless{Name: "body of a stated refusal", Start: "HTTP/1.1 503 Full\r\n" + identity + "X-Not-Executed: 1\r\n\r\n", Unit: "x"}
	for _, response := range append(crowd.EndlessResponses(identity), stated) {
		d.inSubtest(t, response.Name, func() {
			d.restartEntry()
			faulty.Expect(response, clients)
			path := "/plain/x"
			if response.Stream {
				path = "/events/x"
			}
			var complete sync.Map // statuses by client
			c := crowd.Crowd{Name: response.Name, Clients: clients, Send: func(conn net.Conn, n int) {
				_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r%d\r\nX-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n", path, n)
				answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, answer.Body); err == nil && answer.StatusCode < http.StatusInternalServerError {
					complete.Store(n, answer.StatusCode)
				}
			}}
			d.checkCrowd("entry-1", 11, crowdEntryMB, clientPort, c, d.servesOrdinary)
			d.t.Logf("%d requests reached the server", faulty.Arrived())
			complete.Range(func(n, status any) bool {
				d.t.Errorf("client %v got a response with status %v that looks whole", n, status)
				return false
			})
		})
	}
}
