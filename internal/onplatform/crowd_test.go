package onplatform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"eelgrasshollow/internal/crowd"

	"gotest.tools/v3/assert"
)

// The tests of this file run real daemons against clients that don't behave. They check what does not depend
// on the machine's speed: that the process lives, that its memory and descriptors stay within the limits of its
// settings, and that an ordinary request is served. Crowds and bounds are fixed.

const (
	crowdEntryMB, crowdControlMB = 134, 280
	// crowdDescriptors is maxFds in the settings of the tests that exhaust descriptors.
	crowdDescriptors = 600
	// crowdSampleInterval is the time between two counts of descriptors and sockets, and crowdSamples the number of counts once all
	// clients of a crowd have sent.
	crowdSamples, crowdSampleInterval = 10, 50 * time.Millisecond
	// crowdTime limits how long a client of a crowd sends.
	crowdTime = 12 * time.Second
	// crowdHeaderBytes and crowdBodyBytes are the limits of the configuration.
	crowdHeaderBytes, crowdBodyBytes = 16384, 1_000_000
	// crowdIdle is the idle time of the configuration in the tests of clients inside the limits.
	crowdIdle = 5 * time.Second
)

// crowdPath is the path of the requests of crowds.
const crowdPath = "/a/x"

// crowdConfig is a configuration with a route that is served at once, one whose endpoint does not respond, and limits.
func crowdConfig(version int, headerTime, idleTime time.Duration) string {
	return fmt.Sprintf(`{"version":%d,"routes":[
	 {"name":"r","host":"h.example","pathPrefix":"/a/","kind":"idempotent","timeoutMs":20000,"targetLatencyMs":300,"service":"app","maxAttempts":1,"public":false},
	 {"name":"s","host":"h.example","pathPrefix":"/slow/","kind":"idempotent","timeoutMs":60000,"targetLatencyMs":300,"service":"app","maxAttempts":1,"public":true}],
	 "services":[{"name":"app","healthPath":"/health","maxConns":900}],
	 "limits":{"maxHeaderBytes":%d,"maxBodyBytes":%d,"headerTimeoutMs":%d,"idleTimeoutMs":%d},
	 "tenants":[{"name":"acc","apiKeys":["key"],"unit":"token_count","plainTokens":1,"ratePerS":100000,"burst":100000}]}`,
		version, crowdHeaderBytes, crowdBodyBytes, headerTime.Milliseconds(), idleTime.Milliseconds())
}

// newCrowdDeployment starts three control VMs and an entry VM that serves.
func newCrowdDeployment(t *testing.T, descriptors int, headerTime, idleTime time.Duration) *deployment {
	d := newEmptyDeployment(t, 1_000_000)
	d.memoryMB, d.controlMemoryMB, d.descriptors = crowdEntryMB, crowdControlMB, descriptors
	d.serveStub(d.address(200, listPort), func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"instances":[{"id":"i-1","service":"app","address":"%s","zone":"a","slots":500,"state":"ready","version":"v1","coldRemainingMs":0}],"nextToken":null}`, d.address(201, listPort))
	})
	d.serveStub(d.address(201, listPort), func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body) // a body that is cut shows in the count
		if strings.HasPrefix(r.URL.Path, "/slow/") {
			<-r.Context().Done()
			return
		}
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Stamp", "stamp")
		_, _ = fmt.Fprintf(w, "%s %d", r.Header.Get("X-Tenant"), n)
	})
	for n := 1; n <= 3; n++ {
		d.start(fmt.Sprint("core-", n), n, true)
	}
	d.start("entry-1", 11, true)
	d.eventually("a configuration is acknowledged", func() bool { return d.putDocument(1, crowdConfig(1, headerTime, idleTime)) })
	d.eventually("the VM serves", d.servesOrdinary)
	return d
}

// putDocument sends a configuration to a control VM and reports whether it was acknowledged.
func (d *deployment) putDocument(n int, document string) bool {
	status, _ := sendRequest("POST", "http://"+d.address(n, operatorPort)+"/v1/config/put", "", document, nil)
	return status == http.StatusOK
}

// servesOrdinary reports whether the entry VM serves a request, a lookup and its readiness check.
func (d *deployment) servesOrdinary() bool {
	status, body := d.call(11, "/a/x")
	lookup, _ := sendRequest("GET", "http://"+d.address(11, lookupPort)+"/v1/resolve?name=h.example&region=r&zone=a", "", "", nil)
	ready, _ := sendRequest("GET", "http://"+d.address(11, readyPort)+"/v1/ready", "", "", nil)
	return status == http.StatusOK && body == "acc 5" && lookup == http.StatusOK && ready == http.StatusOK
}

// resources returns what a daemon holds. It fails the test if the daemon has ended.
func (d *deployment) resources(name string) crowd.Resources {
	d.t.Helper()
	r, err := crowd.ResourcesOf(d.commands[name].Process.Pid)
	assert.NilError(d.t, err, name)
	return r
}

// checkCrowd gathers a crowd at a port of a daemon on host n and checks the daemon while the crowd sends and is connected.
func (d *deployment) checkCrowd(name string, n, memoryMB, port int, c crowd.Crowd, serves func() bool) {
	const mb, socketOverhead = 1 << 20, 2 // the operating system counts up to twice the bytes in a socket
	var sockets int64
	descriptors := 0
	sample := func() {
		sockets = max(sockets, d.queuedBytes(d.address(n, port), d.address(201, listPort)))
		descriptors = max(descriptors, d.resources(name).Descriptors)
	}
	gathered := make(chan func())
	go func() { gathered <- c.Gather(d.address(n, port), crowdTime) }()
	var release func()
	for release == nil {
		sample()
		select {
		case release = <-gathered:
		case <-time.After(crowdSampleInterval):
		}
	}
	defer release()
	sample()
	d.eventually("ordinary requests are served beside the crowd", serves)
	for range crowdSamples { // the last connections may still wait to be accepted
		sample()
		time.Sleep(crowdSampleInterval)
	}
	resident := d.resources(name).MostResident
	d.t.Logf("%s, %d clients: resident %.1f MB at most, %.1f MB in sockets, %d descriptors", c.Name, c.Clients, float64(resident)/mb, float64(sockets)/mb, descriptors)
	assert.Assert(d.t, resident+socketOverhead*sockets < int64(memoryMB)*mb, "memory limit of %d MB is passed", memoryMB)
	if d.descriptors > 0 {
		assert.Assert(d.t, descriptors <= d.descriptors, "limit of %d descriptors is passed", d.descriptors)
	}
}

// inSubtest runs a check with a deployment as a subtest.
func (d *deployment) inSubtest(t *testing.T, name string, check func()) {
	t.Run(name, func(t *testing.T) {
		outer := d.t
		d.t = t
		defer func() { d.t = outer }()
		check()
	})
}

// restartEntry starts the entry VM anew, so that its greatest memory counts from there.
func (d *deployment) restartEntry() {
	d.kill("entry-1")
	d.start("entry-1", 11, false)
	d.eventually("the VM serves", d.servesOrdinary)
}

// TestCrowdAtEntryVM guards against an entry VM that passes its memory limit under heads that never end, at each of its ports.
func TestCrowdAtEntryVM(t *testing.T) {
	d := newCrowdDeployment(t, 0, time.Minute, time.Minute)
	for _, port := range []struct {
		name string
		port int
	}{{"callers", clientPort}, {"lookup", lookupPort}, {"ready", readyPort}, {"metrics", metricsPort}} {
		for _, c := range crowd.Heads(crowdPath) {
			d.inSubtest(t, port.name+"/"+c.Name, func() {
				d.restartEntry()
				d.checkCrowd("entry-1", 11, crowdEntryMB, port.port, c, d.servesOrdinary)
			})
		}
	}
	for _, c := range []crowd.Crowd{crowd.Announced(), crowd.UnreadCalls()} {
		d.inSubtest(t, "peers/"+c.Name, func() {
			d.restartEntry()
			d.checkCrowd("entry-1", 11, crowdEntryMB, peerPort, c, d.servesOrdinary)
		})
	}
}

// TestCrowdAtControlVM guards against a control VM that passes its memory limit under heads and messages that never end.
func TestCrowdAtControlVM(t *testing.T) {
	d := newCrowdDeployment(t, 0, time.Minute, time.Minute)
	version := 1
	acknowledges := func() bool {
		return d.putDocument(1, crowdConfig(version, time.Minute, time.Minute))
	}
	check := func(name string, port int, c crowd.Crowd) {
		d.inSubtest(t, name+"/"+c.Name, func() {
			d.kill("core-1")
			d.start("core-1", 1, false)
			version++
			d.eventually("a configuration is acknowledged", acknowledges)
			version++
			d.checkCrowd("core-1", 1, crowdControlMB, port, c, acknowledges)
		})
	}
	for _, c := range crowd.Heads(crowdPath) {
		check("operators", operatorPort, c)
	}
	for _, c := range crowd.Heads(crowdPath)[:2] {
		check("metrics", metricsPort, c)
	}
	check("peers", peerPort, crowd.Announced())
	check("peers", peerPort, crowd.UnreadCalls())
}

// TestCrowdOfSilentConnections guards against silent connections that take all descriptors, so that ordinary clients
// get no connection and the VM can't reach its peers.
func TestCrowdOfSilentConnections(t *testing.T) {
	const connections = 2 * crowdDescriptors
	d := newCrowdDeployment(t, crowdDescriptors, time.Minute, time.Minute)
	for _, port := range []struct {
		name string
		port int
	}{{"callers", clientPort}, {"lookup", lookupPort}, {"ready", readyPort}, {"metrics", metricsPort}, {"peers", peerPort}} {
		d.inSubtest(t, port.name, func() {
			d.restartEntry()
			d.checkCrowd("entry-1", 11, crowdEntryMB, port.port, crowd.Silent(connections), d.servesOrdinary)
		})
	}
	d.inSubtest(t, "operators", func() {
		d.checkCrowd("core-1", 1, crowdControlMB, operatorPort, crowd.Silent(connections), func() bool {
			return d.putDocument(1, crowdConfig(2, time.Minute, time.Minute))
		})
	})
}

// unreadCrowd returns clients that repeat a request, total bytes in all, and read no response. A VM need not take all
// requests, so that they send for a shorter time.
func unreadCrowd(name string, clients, total int, request string) crowd.Crowd {
	return crowd.Crowd{Name: name, Clients: clients, Send: func(conn net.Conn, _ int) {
		_ = conn.SetDeadline(time.Now().Add(crowdTime / 4)) // the connection may be closed already
		crowd.Write(conn, "", total, crowd.Constant(request))
	}}
}

// TestCrowdOfRequests guards against memory that requests hold whose clients don't go on: bodies that are not sent,
// responses that nobody reads, and bytes that arrive while a request is served.
func TestCrowdOfRequests(t *testing.T) {
	d := newCrowdDeployment(t, 0, time.Minute, time.Minute)
	const post = "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: crowd-%d\r\nX-Deadline-Ms: 60000\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n\r\n"
	for _, c := range []struct {
		port  int
		crowd crowd.Crowd
	}{
		{clientPort, crowd.Crowd{Name: "unfinished bodies", Clients: 400, Send: func(conn net.Conn, n int) {
			crowd.Write(conn, fmt.Sprintf(post, "/a/x", n, 10), 1, crowd.Constant("b"))
		}}},
		{clientPort, crowd.Crowd{Name: "large unfinished bodies", Clients: 200, Send: func(conn net.Conn, n int) {
			crowd.Write(conn, fmt.Sprintf(post, "/a/x", n, crowdBodyBytes), crowdBodyBytes-1000, crowd.Constant(strings.Repeat("b", 1000)))
		}}},
		{clientPort, crowd.Crowd{Name: "unread bytes", Clients: 200, Send: func(conn net.Conn, n int) {
			_ = conn.SetDeadline(time.Now().Add(crowdTime / 4)) // the VM need not take them
			crowd.Write(conn, fmt.Sprintf(post, "/slow/x", n, 0), 4<<20, crowd.Constant(strings.Repeat("b", 1000)))
		}}},
		{clientPort, unreadCrowd("unread refusals", 1000, 4<<20, "GET /none HTTP/1.1\r\nHost: h.example\r\n\r\n")},
		{lookupPort, unreadCrowd("unread lookups of many", 1000, 4<<20, "GET /v1/resolve?name=h.example&region=r&zone=a HTTP/1.1\r\nHost: h.example\r\n\r\n")},
		{lookupPort, unreadCrowd("unread lookups", 200, 4<<20, "GET /v1/resolve?name=h.example&region=r&zone=a HTTP/1.1\r\nHost: h.example\r\n\r\n")},
		{metricsPort, unreadCrowd("unread metrics", 200, 1<<20, "GET /metrics HTTP/1.1\r\nHost: h.example\r\n\r\n")},
	} {
		d.inSubtest(t, c.crowd.Name, func() {
			d.restartEntry()
			d.checkCrowd("entry-1", 11, crowdEntryMB, c.port, c.crowd, d.servesOrdinary)
		})
	}
}

// TestCrowdOfOperators guards against configurations of megabytes that clients of the operators' port ask for and don't read, or
// announce and don't send.
func TestCrowdOfOperators(t *testing.T) {
	const padding = 2 << 20
	d := newCrowdDeployment(t, 0, time.Minute, time.Minute)
	version := 1
	acknowledges := func() bool {
		return d.putDocument(1, strings.Replace(crowdConfig(version, time.Minute, time.Minute), `"services"`, strings.Repeat(" ", padding)+`"services"`, 1))
	}
	for _, c := range []crowd.Crowd{
		unreadCrowd("unread configurations", 1200, 100<<10, "GET /v1/config/get HTTP/1.1\r\nHost: h.example\r\n\r\n"),
		crowd.NewCrowd("unfinished configurations", 300, "POST /v1/config/put HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4000000\r\n\r\n", 3<<20,
			crowd.Constant(strings.Repeat("x", 1000))),
	} {
		d.inSubtest(t, c.Name, func() {
			d.kill("core-1")
			d.start("core-1", 1, false)
			version++
			d.eventually("a configuration is acknowledged", acknowledges)
			version++
			d.checkCrowd("core-1", 1, crowdControlMB, operatorPort, c, acknowledges)
		})
	}
}

// exchange writes the parts of a request on a connection, with a pause after each, and returns the response.
func exchange(t testing.TB, conn net.Conn, reader *bufio.Reader, pause time.Duration, parts ...string) (int, string) {
	t.Helper()
	for _, part := range parts {
		_, err := io.WriteString(conn, part)
		assert.NilError(t, err)
		time.Sleep(pause)
	}
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(body)
}

// ordinaryHead is the head of an ordinary request without the empty line at its end.
const ordinaryHead = "POST /a/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: calm-1\r\nX-Deadline-Ms: 20000\r\nAuthorization: Bearer key\r\n"

// headOf returns a head of exactly size bytes, of which fields gives the field lines beyond the ordinary ones.
func headOf(size int, body int, field func(i int) string) string {
	head := ordinaryHead + fmt.Sprintf("Content-Length: %d\r\n", body)
	const fillerOverhead = len("Z:\r\n")
	for i := 0; ; i++ {
		next := field(i)
		if len(head)+len(next)+fillerOverhead > size {
			break
		}
		head += next
	}
	return head + "Z:" + strings.Repeat("z", size-len(head)-fillerOverhead) + "\r\n"
}

// TestCrowdLimitsServeClientsInside guards against requests inside the limits of the configuration that are refused or cut
// while the VM has room.
func TestCrowdLimitsServeClientsInside(t *testing.T) {
	d := newCrowdDeployment(t, 0, crowdIdle, crowdIdle)
	for _, c := range []struct {
		name  string
		serve func(t testing.TB, conn net.Conn, reader *bufio.Reader) (status int, body string)
		body  int
	}{
		{"head of the greatest size", func(t testing.TB, conn net.Conn, reader *bufio.Reader) (int, string) {
			return exchange(t, conn, reader, 0, headOf(crowdHeaderBytes, 5, crowd.Constant("X-Field: "+strings.Repeat("v", 500)+"\r\n"))+"\r\norder")
		}, 5},
		{"head of short fields", func(t testing.TB, conn net.Conn, reader *bufio.Reader) (int, string) {
			return exchange(t, conn, reader, 0, headOf(crowdHeaderBytes, 5, crowd.ShortField)+"\r\norder")
		}, 5},
		{"fields without a space", func(t testing.TB, conn net.Conn, reader *bufio.Reader) (int, string) {
			return exchange(t, conn, reader, 0, headOf(crowdHeaderBytes-10, 5, crowd.Constant("a:b\r\n"))+"\r\norder")
		}, 5},
		{"slow head", func(t testing.TB, conn net.Conn, reader *bufio.Reader) (int, string) {
			const parts = 40
			head := headOf(crowdHeaderBytes, 5, crowd.Constant("X-Field: v\r\n")) + "\r\norder"
			var list []string
			for i := range parts {
				list = append(list, head[i*len(head)/parts:(i+1)*len(head)/parts])
			}
			return exchange(t, conn, reader, crowdIdle*3/5/parts, list...)
		}, 5},
		{"body in tiny chunks", func(t testing.TB, conn net.Conn, reader *bufio.Reader) (int, string) {
			return exchange(t, conn, reader, 0, ordinaryHead+"Transfer-Encoding: chunked\r\n\r\n"+strings.Repeat("1\r\nb\r\n", crowdBodyBytes)+"0\r\n\r\n")
		}, crowdBodyBytes},
		{"connection that was idle", func(t testing.TB, conn net.Conn, reader *bufio.Reader) (int, string) {
			request := ordinaryHead + "Content-Length: 5\r\n\r\norder"
			status, _ := exchange(t, conn, reader, 0, request)
			assert.Equal(t, status, http.StatusOK)
			time.Sleep(crowdIdle * 4 / 5)
			return exchange(t, conn, reader, 0, request)
		}, 5},
	} {
		d.inSubtest(t, c.name, func() {
			conn, err := net.Dial("tcp", d.address(11, clientPort))
			assert.NilError(d.t, err)
			defer func() { _ = conn.Close() }()
			status, body := c.serve(d.t, conn, bufio.NewReader(conn))
			assert.Equal(d.t, status, http.StatusOK, "%s", body)
			assert.Equal(d.t, body, fmt.Sprint("acc ", c.body))
		})
	}
}
