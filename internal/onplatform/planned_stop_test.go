package onplatform

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stopClient is a client that sends requests to a stopping VM on one connection.
type stopClient struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dialStopping(address string) (*stopClient, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &stopClient{conn, bufio.NewReader(conn)}, nil
}

// send sends a request and returns the status of the response, and whether the connection may be used again. Status 0 means that
// the connection ended without a whole response.
func (c *stopClient) send(id, path string) (status int, kept bool, err error) {
	_ = c.conn.SetDeadline(time.Now().Add(waitTimeout)) // fails only on a closed connection
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 20000\r\nAuthorization: Bearer key\r\nContent-Length: 5\r\n\r\norder", path, id)
	if _, err := io.WriteString(c.conn, text); err != nil {
		return 0, false, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, false, err
	}
	defer func() { _ = response.Body.Close() }() // read below
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, false, err
	}
	return response.StatusCode, !response.Close, nil
}

// TestStoppingVMAnswersAllItTakes stops an entry VM in calm, while clients send requests that may run once through the whole grace
// period, on kept connections and on new ones, and servers take longer than it. Each request that was passed on must get a
// response, and one that was reported as not run must not have been passed on (reported by operators of a similar system).
func TestStoppingVMAnswersAllItTakes(t *testing.T) {
	d := newEmptyDeployment(t, 1000)
	var mu sync.Mutex
	ran := map[string]bool{}
	d.serveStub(d.address(200, listPort), func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"instances":[{"id":"i-1","service":"app","address":"%s","zone":"a","slots":500,"state":"ready","version":"v1","coldRemainingMs":0}],"nextToken":null}`, d.address(201, listPort))
	})
	d.serveStub(d.address(201, listPort), func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		_, _ = io.Copy(io.Discard, r.Body)
		if id != "" {
			mu.Lock()
			ran[id] = true
			mu.Unlock()
		}
		w.Header().Set("X-Request-Id", id)
		w.Header().Set("X-Response-Stamp", "stamp")
		took := 20 * time.Millisecond
		if strings.HasSuffix(r.URL.Path, "/slow") {
			took = waitTimeout
		}
		select {
		case <-time.After(took):
		case <-r.Context().Done():
		}
		_, _ = io.WriteString(w, "done")
	})
	for n := 1; n <= 3; n++ {
		d.start(fmt.Sprint("core-", n), n, true)
	}
	d.start("entry-1", 11, true)
	config := `{"version":1,"routes":[{"name":"r","host":"h.example","pathPrefix":"/a/","kind":"non_idempotent","timeoutMs":20000,"targetLatencyMs":300,
	 "service":"app","maxAttempts":1,"public":false}],"services":[{"name":"app","healthPath":"/health","maxConns":500}],"limits":{"maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
	 "tenants":[{"name":"acc","apiKeys":["key"],"unit":"token_count","plainTokens":1,"ratePerS":100000,"burst":100000}]}`
	d.eventually("a configuration is acknowledged", func() bool {
		status, _ := sendRequest("POST", "http://"+d.address(1, operatorPort)+"/v1/config/put", "", config, nil)
		return status == http.StatusOK
	})
	address := d.address(11, clientPort)
	d.eventually("the VM serves", func() bool { status, _ := d.call(11, "/a/x"); return status == http.StatusOK })

	type result struct {
		id     string
		status int
		err    error
	}
	var results []result
	record := func(r result) {
		mu.Lock()
		defer mu.Unlock()
		results = append(results, r)
	}
	ended := make(chan struct{})
	running := func() bool {
		select {
		case <-ended:
			return false
		default:
			return true
		}
	}
	var clients sync.WaitGroup
	for n := range 12 {
		clients.Go(func() {
			for i := 0; running(); {
				c, err := dialStopping(address)
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				for kept := true; kept && running(); {
					i++
					path := "/a/x"
					if n%3 == 0 && i%5 == 4 {
						path = "/a/slow"
					}
					id := fmt.Sprintf("c%d-%d", n, i)
					r := result{id: id}
					r.status, kept, r.err = c.send(id, path)
					record(r)
					kept = kept && n%2 == 1 // the others use a new connection for each request
					time.Sleep(time.Duration(n+1) * 5 * time.Millisecond)
				}
				_ = c.conn.Close()
			}
		})
	}
	for n := range 8 { // requests that are on their way when the VM is told to stop
		clients.Go(func() {
			time.Sleep(time.Duration(n) * 450 * time.Millisecond)
			id := fmt.Sprint("slow-", n)
			c, err := dialStopping(address)
			if err != nil {
				return
			}
			r := result{id: id}
			r.status, _, r.err = c.send(id, "/a/slow")
			record(r)
			_ = c.conn.Close()
		})
	}
	time.Sleep(200 * time.Millisecond)
	stopping := d.commands["entry-1"]
	assert.NilError(t, stopping.Process.Signal(syscall.SIGTERM))
	assert.NilError(t, stopping.Wait(), "a stop ends without an error")
	delete(d.commands, "entry-1")
	close(ended)
	clients.Wait()

	answers := map[int]int{}
	for _, r := range results {
		answers[r.status]++
		switch {
		case r.status == 0 && ran[r.id]:
			t.Errorf("request %s was passed on and got no response: %v", r.id, r.err)
		case r.status == 0 && !errors.Is(r.err, io.EOF) && !errors.Is(r.err, io.ErrUnexpectedEOF) && !errors.Is(r.err, syscall.ECONNRESET) && !errors.Is(r.err, syscall.EPIPE):
			t.Errorf("request %s: %v", r.id, r.err)
		case r.status == http.StatusServiceUnavailable && ran[r.id]:
			t.Errorf("request %s was reported as not run and has run", r.id)
		}
	}
	t.Logf("statuses: %v", answers)
	assert.Assert(t, answers[http.StatusOK] > 0 && answers[http.StatusServiceUnavailable] > 0 && answers[http.StatusBadGateway] > 0, "%v", answers)
}
