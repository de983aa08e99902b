package onplatform

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// queuedBytes returns the bytes that the operating system holds for a VM's connections with clients and
// with the server: those that have arrived and are unread, and those that the other side has not received.
func (d *deployment) queuedBytes(client, server string) int64 {
	table, err := os.ReadFile("/proc/net/tcp")
	assert.NilError(d.t, err)
	clientKey, serverKey := tableAddress(client), tableAddress(server)
	const localField, remoteField, stateField, queuesField = 1, 2, 3, 4
	// While a connection is being opened it holds no bytes, but its queue is computed from a sequence number that is not set yet.
	const opening = "02"
	sum := int64(0)
	for line := range strings.Lines(string(table)) {
		f := strings.Fields(line)
		if len(f) <= queuesField || f[stateField] == opening || f[localField] != clientKey && f[remoteField] != serverKey {
			continue
		}
		unsent, unread, _ := strings.Cut(f[queuesField], ":")
		for _, queue := range []string{unsent, unread} {
			n, err := strconv.ParseInt(queue, 16, 64)
			assert.NilError(d.t, err)
			sum += n
		}
	}
	return sum
}

// tableAddress returns an IPv4 address and port in the form of /proc/net/tcp.
func tableAddress(address string) string {
	a := netip.MustParseAddrPort(address)
	ip := a.Addr().As4()
	slices.Reverse(ip[:])
	return fmt.Sprintf("%X:%04X", ip, a.Port())
}

// metric returns the value of a metric of a VM, whose name includes its labels.
func (d *deployment) metric(n int, name string) float64 {
	_, text := sendRequest("GET", "http://"+d.address(n, metricsPort)+"/metrics", "", "", nil)
	for line := range strings.Lines(text) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), name+" "); ok {
			v, err := strconv.ParseFloat(value, 64)
			assert.NilError(d.t, err)
			return v
		}
	}
	d.t.Fatalf("metric %s is missing", name)
	return 0
}

// TestSlowReadersLeaveMemory runs real daemons with 200 clients that send large bodies and read nothing
// of their streams. It guards against a VM that passes its memory limit, servers that are read from
// without bound, other requests that wait or fail meanwhile, and memory that is not given back.
func TestSlowReadersLeaveMemory(t *testing.T) {
	for _, c := range []struct{ memoryMB, bodyBytes int }{{144, 40_000}, {200, 100_000}} {
		t.Run(fmt.Sprint(c.memoryMB, " MB"), func(t *testing.T) { checkSlowReaders(t, c.memoryMB, c.bodyBytes) })
	}
}

// checkSlowReaders checks a VM with a memory limit whose clients send bodies of a size.
func checkSlowReaders(t *testing.T, memoryMB, bodyBytes int) {
	const readers, streamBytes = 200, 1 << 20
	// arrivalInterval keeps the arrivals from being a burst that a busy machine answers with failed connections.
	const arrivalInterval = 10 * time.Millisecond
	const stopped = 8 * time.Second // after which all streams have been stopped
	d := newEmptyDeployment(t, 1_000_000)
	d.memoryMB = memoryMB
	event := fmt.Appendf(nil, "data: %s\n\n", bytes.Repeat([]byte("x"), 1000))
	d.serveStub(d.address(200, listPort), func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"instances":[{"id":"i-1","service":"app","address":"%s","zone":"a","slots":500,"state":"ready","version":"v1","coldRemainingMs":0}],"nextToken":null}`, d.address(201, listPort))
	})
	d.serveStub(d.address(201, listPort), func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // unread bytes would reset the connection
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Stamp", "stamp")
		if !strings.HasPrefix(r.URL.Path, "/stream/") {
			_, _ = io.WriteString(w, r.Header.Get("X-Tenant"))
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for sent := 0; sent < streamBytes; sent += len(event) {
			if _, err := w.Write(event); err != nil {
				return
			}
		}
	})
	for n := 1; n <= 3; n++ {
		d.start(fmt.Sprint("core-", n), n, true)
	}
	d.start("entry-1", 11, true)
	config := `{"version":1,"routes":[
	 {"name":"s","host":"h.example","pathPrefix":"/stream/","kind":"streaming","timeoutMs":30000,"targetLatencyMs":300,"service":"app","maxAttempts":1,"public":true},
	 {"name":"r","host":"h.example","pathPrefix":"/a/","kind":"idempotent","timeoutMs":2000,"targetLatencyMs":300,"service":"app","maxAttempts":1,"public":false}],
	 "services":[{"name":"app","healthPath":"/health","maxConns":900}],"limits":{"maxBodyBytes":1000000},
	 "tenants":[{"name":"acc","apiKeys":["key"],"unit":"token_count","plainTokens":1,"ratePerS":100000,"burst":100000}]}`
	d.eventually("a configuration is acknowledged", func() bool {
		status, _ := sendRequest("POST", "http://"+d.address(1, operatorPort)+"/v1/config/put", "", config, nil)
		return status == http.StatusOK
	})
	d.eventually("the VM serves", func() bool { return d.share(11, 1) == 1 })
	idle := d.resources("entry-1").Resident

	head := fmt.Sprintf("POST /stream/x HTTP/1.1\r\nHost: h.example\r\nX-Deadline-Ms: 30000\r\nContent-Length: %d\r\n", bodyBytes)
	// The last byte of each body is sent when the VM holds all of them: a stream that has begun is stopped some seconds later, which
	// on a busy machine may be before the next sample.
	conns := make([]net.Conn, readers)
	var wg sync.WaitGroup
	for i := range readers {
		time.Sleep(arrivalInterval)
		wg.Go(func() {
			conn, err := net.Dial("tcp", d.address(11, clientPort))
			if !assert.Check(t, err == nil, "%v", err) {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			conns[i] = conn
			_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10) // best effort: with a larger one, more is delivered
			_, err = fmt.Fprintf(conn, "%sX-Request-Id: slow-%d\r\n\r\n%s", head, i, bytes.Repeat([]byte("b"), bodyBytes-1))
			assert.Check(t, err == nil, "%v", err)
		})
	}
	wg.Wait()
	assert.Assert(t, !t.Failed())
	const heldByRequests, heldByResponses = `eelgrass_memory_held_bytes{use="requests"}`, `eelgrass_memory_held_bytes{use="responses"}`
	mostHeld := 0.0
	d.eventually("the VM holds all bodies", func() bool {
		mostHeld = d.metric(11, heldByRequests)
		return mostHeld >= float64(readers*bodyBytes)
	})
	wg.Go(func() {
		for _, conn := range conns {
			time.Sleep(arrivalInterval)
			_, err := io.WriteString(conn, "b")
			assert.Check(t, err == nil, "%v", err)
		}
	})
	defer wg.Wait()
	var mostRSS, mostSockets int64
	mostBuffered, begin, requests, slowest := 0.0, time.Now(), 0, time.Duration(0)
	for time.Since(begin) < stopped {
		sent := time.Now()
		assert.Equal(t, d.share(11, 1), 1.0, "other requests are served")
		slowest = max(slowest, time.Since(sent))
		requests++
		mostRSS = d.resources("entry-1").MostResident
		mostSockets = max(mostSockets, d.queuedBytes(d.address(11, clientPort), d.address(201, listPort)))
		mostHeld, mostBuffered = max(mostHeld, d.metric(11, heldByRequests)), max(mostBuffered, d.metric(11, heldByResponses))
		time.Sleep(100 * time.Millisecond)
	}
	// socketOverhead is what the operating system counts for a byte in a socket.
	const mb, socketOverhead = 1 << 20, 2
	limit, bufferLimit := d.metric(11, `eelgrass_memory_held_limit_bytes{use="requests"}`), d.metric(11, `eelgrass_memory_held_limit_bytes{use="responses"}`)
	t.Logf("%d slow readers: resident %.1f MB idle, %.1f MB at most; %.1f MB in its sockets; requests held %.1f MB of %.1f, responses %.1f of %.1f; %d other requests, the slowest %v; %v streams stopped",
		readers, float64(idle)/mb, float64(mostRSS)/mb, float64(mostSockets)/mb, mostHeld/mb, limit/mb, mostBuffered/mb, bufferLimit/mb, requests, slowest,
		d.metric(11, "eelgrass_gateway_slow_readers_total"))
	assert.Assert(t, mostHeld >= float64(readers*bodyBytes) && mostHeld <= limit && mostBuffered <= bufferLimit)
	assert.Assert(t, mostRSS+socketOverhead*mostSockets < int64(memoryMB)*mb)
	d.eventually("the memory is given back", func() bool { return d.metric(11, heldByRequests)+d.metric(11, heldByResponses) == 0 })
	assert.Equal(t, d.metric(11, "eelgrass_gateway_slow_readers_total"), float64(readers))
}
