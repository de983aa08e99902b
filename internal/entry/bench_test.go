package entry

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"eelgrasshollow/internal/engine"
	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/keys"
	"eelgrasshollow/internal/membudget"
	"eelgrasshollow/internal/prefix"
	"eelgrasshollow/internal/routing"
	"eelgrasshollow/internal/standin"
	"eelgrasshollow/internal/state"
	"eelgrasshollow/internal/watch"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// newBenchFront returns a front without logging, which reaches its endpoint through dial, and
// a client's key.
func newBenchFront(b *testing.B, dial engine.Dial, address string) (*Front, string) {
	b.Helper()
	s, e := defaults(b)
	e.FirstByteTimeout, e.SilenceTimeout, s.WriteTimeout = time.Hour, time.Hour, time.Hour
	hasher, token := keys.NewHasher(testHashKey), keys.New()
	view := state.NewView(testConfiguration(hasher, token))
	return NewFront(s, Deps{
		Directory: &fakeDirectory{view: view, changed: make(chan struct{})}, Limiter: &fakeLimiter{}, Journal: &fakeJournal{},
		Router: oneEndpoint{address}, Engine: engine.New(e, dial, nil, zap.NewNop()), Hasher: hasher, Log: zap.NewNop(),
	}), token.Text()
}

// oneEndpoint is a router, and a ticket, for a single address.
type oneEndpoint struct{ address string }

func (o oneEndpoint) Pick(context.Context, routing.Request) (routing.Ticket, error) { return o, nil }
func (oneEndpoint) CheckQuarantine(routing.Request) error                           { return nil }
func (o oneEndpoint) Decision() routing.Decision {
	return routing.Decision{Endpoint: "engine", Address: o.address}
}
func (oneEndpoint) Started()              {}
func (oneEndpoint) Notify(routing.Notice) {}
func (oneEndpoint) Resend() bool          { return true }
func (oneEndpoint) Done(routing.Result)   {}

// serveOn serves a handler on a loopback address until the benchmark ends.
func serveOn(b *testing.B, s *http.Server) string {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	go func() { _ = s.Serve(l) }()
	b.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// streamTimes are the latencies of one stream as measured by the client.
type streamTimes struct{ first, perToken time.Duration }

func timeStream(b *testing.B, address, token, body string) streamTimes {
	b.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	assert.NilError(b, err)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+token)
	start := time.Now()
	response, err := http.DefaultClient.Do(r)
	assert.NilError(b, err)
	defer func() { _ = response.Body.Close() }()
	events := engine.NewEventReader(response.Body, 1<<20, membudget.New(1<<30, "test").Lease(0))
	var first, last time.Time
	n := 0
	for {
		_, err := events.Next()
		if err == io.EOF {
			break
		}
		assert.NilError(b, err)
		last = time.Now()
		if n++; n == 1 {
			first = last
		}
	}
	assert.Assert(b, n > 2)
	return streamTimes{first.Sub(start), last.Sub(first) / time.Duration(n-1)}
}

func quantile(list []time.Duration, q float64) float64 {
	slices.Sort(list)
	return float64(list[int(q*float64(len(list)-1))].Microseconds())
}

// BenchmarkAddedLatency alternates streams through the front with streams directly to the
// stand-in engine, and reports the differences of the quantiles in microseconds.
func BenchmarkAddedLatency(b *testing.B) {
	for _, promptBytes := range []int{4 << 10, 400 << 10} {
		b.Run(fmt.Sprintf("prompt=%dKiB", promptBytes>>10), func(b *testing.B) {
			e := standin.NewEngine(standin.EngineConfig{CacheBlocks: 1000, BatchSlots: 64, PrefillRate: 1e9, TokenTime: time.Millisecond})
			direct := serveOn(b, &http.Server{Handler: e.Handler()})
			front, token := newBenchFront(b, nil, direct)
			routed := serveOn(b, front.Server(zap.NewNop()))
			body := fmt.Sprintf(`{"model":"quote","stream":true,"max_tokens":16,"messages":[{"role":"user","content":"%s"}]}`, strings.Repeat("pasta al huevo, ", promptBytes/16))
			var firsts, steps [2][]time.Duration
			for b.Loop() {
				for i, address := range []string{direct, routed} {
					t := timeStream(b, address, token, body)
					firsts[i], steps[i] = append(firsts[i], t.first), append(steps[i], t.perToken)
				}
			}
			for _, q := range []struct {
				name string
				at   float64
			}{{"p50", .5}, {"p99", .99}} {
				b.ReportMetric(quantile(firsts[0], q.at), "direct-first-"+q.name+"-us")
				b.ReportMetric(quantile(firsts[1], q.at)-quantile(firsts[0], q.at), "added-first-"+q.name+"-us")
				b.ReportMetric(quantile(steps[1], q.at)-quantile(steps[0], q.at), "added-token-"+q.name+"-us")
			}
		})
	}
}

// pipeEngine responds to requests over net.Pipe with prepared bytes.
type pipeEngine struct {
	response func(id string) []byte
	hold     bool // keep the connection open and idle after the response
	conns    sync.Map
}

func (p *pipeEngine) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	p.conns.Store(far, true)
	go p.serve(far)
	return near, nil
}

func (p *pipeEngine) serve(conn net.Conn) {
	r := bufio.NewReaderSize(conn, 512)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if _, err := conn.Write(p.response(request.Header.Get(engineapi.HeaderRequestID))); err != nil || p.hold {
			return
		}
	}
}

func (p *pipeEngine) close() {
	p.conns.Range(func(c, _ any) bool { _ = c.(net.Conn).Close(); return true })
}

const wholeResponse = `{"id":"cmpl","object":"chat.completion","model":"quote","choices":[{"index":0,"message":{"role":"assistant","content":"fideos"},"finish_reason":"stop"}],"usage":{"prompt_tokens":100,"completion_tokens":1,"total_tokens":101}}`

// BenchmarkRequests reports requests per second of processor time. That time includes the front
// with its HTTP server and client, the benchmark's client and the prepared engine.
func BenchmarkRequests(b *testing.B) {
	p := &pipeEngine{response: func(id string) []byte {
		return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(wholeResponse), wholeResponse)
	}}
	defer p.close()
	front, token := newBenchFront(b, p.dial, "engine:1")
	routed := serveOn(b, front.Server(zap.NewNop()))
	body := fmt.Sprintf(chatBody, false, 16)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	before := processorTime(b)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r, _ := http.NewRequest(http.MethodPost, "http://"+routed+"/v1/chat/completions", strings.NewReader(body))
			r.Header.Set("Content-Type", "application/json")
			r.Header.Set("Authorization", "Bearer "+token)
			response, err := client.Do(r)
			if err != nil || response.StatusCode != http.StatusOK {
				b.Errorf("request failed: %v", err)
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	})
	b.ReportMetric(float64(b.N)/(processorTime(b)-before).Seconds(), "requests/core-s")
}

// BenchmarkTokens reports streamed tokens per second of processor time. That time includes the
// benchmark's client and the prepared engine.
func BenchmarkTokens(b *testing.B) {
	const tokens = 1000
	p := &pipeEngine{response: func(id string) []byte {
		out := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", id)
		for i := 1; i <= tokens+2; i++ {
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", i, tokenEvent(i, tokens))
			out = fmt.Appendf(out, "%x\r\n%s\r\n", len(event), event)
		}
		return append(out, "0\r\n\r\n"...)
	}}
	defer p.close()
	front, token := newBenchFront(b, p.dial, "engine:1")
	routed := serveOn(b, front.Server(zap.NewNop()))
	body := fmt.Sprintf(chatBody, true, tokens)
	before := processorTime(b)
	b.ReportAllocs()
	for b.Loop() {
		timeStream(b, routed, token, body)
	}
	b.ReportMetric(float64(b.N)*tokens/(processorTime(b)-before).Seconds(), "tokens/core-s")
}

// tokenEvent returns the data of the event at a position of a stream with the given number of
// tokens.
func tokenEvent(position, tokens int) string {
	switch position {
	case tokens + 1:
		return `{"choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":10,"completion_tokens":1000,"total_tokens":1010}}`
	case tokens + 2:
		return "[DONE]"
	}
	return `{"id":"c","object":"chat.completion.chunk","model":"quote","choices":[{"index":0,"delta":{"content":"fideos"},"finish_reason":null}]}`
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// pipeListener accepts connections handed to it.
type pipeListener struct{ conns chan net.Conn }

func (l pipeListener) Accept() (net.Conn, error) {
	conn, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}
func (pipeListener) Close() error   { return nil }
func (pipeListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// BenchmarkIdleStreams opens streams that have begun and are idle, in process over net.Pipe, and
// reports bytes (heap and stacks) and goroutines per stream. The bytes include the client's and
// the engine's ends of the connections, which have no goroutines at that time.
func BenchmarkIdleStreams(b *testing.B) {
	for _, c := range []struct{ streams, promptBytes int }{{10_000, 0}, {500, 400 << 10}} {
		b.Run(fmt.Sprintf("streams=%d/prompt=%dKiB", c.streams, c.promptBytes>>10), func(b *testing.B) {
			idleStreams(b, c.streams, c.promptBytes)
		})
	}
}

func idleStreams(b *testing.B, streams, promptBytes int) {
	event := `data: {"id":"c","object":"chat.completion.chunk","model":"quote","choices":[{"index":0,"delta":{"content":"a"},"finish_reason":null}]}`
	p := &pipeEngine{hold: true, response: func(id string) []byte {
		chunk := "id: 1\n" + event + "\n\n"
		return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", id, len(chunk), chunk)
	}}
	body := strings.Replace(fmt.Sprintf(chatBody, true, 16), "hello", "hello"+strings.Repeat("x", promptBytes), 1)
	for b.Loop() {
		front, token := newBenchFront(b, p.dial, "engine:1")
		l := pipeListener{make(chan net.Conn)}
		server := front.Server(zap.NewNop())
		go func() { _ = server.Serve(l) }()
		memory, goroutines := usage()
		var clients []net.Conn
		for range streams {
			near, far := net.Pipe()
			l.conns <- far
			clients = append(clients, near)
			openStream(b, near, token, body)
		}
		memoryAfter, goroutinesAfter := usage()
		b.ReportMetric(float64(memoryAfter-memory)/float64(streams), "bytes/stream")
		b.ReportMetric(float64(goroutinesAfter-goroutines)/float64(streams), "goroutines/stream")
		for _, c := range clients {
			_ = c.Close()
		}
		close(l.conns)
		p.close()
	}
}

// openStream sends a request and reads up to the first event.
func openStream(b *testing.B, conn net.Conn, token, body string) {
	b.Helper()
	request := "POST /v1/chat/completions HTTP/1.1\r\nHost: e\r\nContent-Type: application/json\r\nAuthorization: Bearer " + token +
		"\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	_, err := conn.Write([]byte(request))
	assert.NilError(b, err)
	var got []byte
	part := make([]byte, 4096)
	for !bytes.Contains(got, []byte("data: ")) {
		n, err := conn.Read(part)
		assert.NilError(b, err)
		got = append(got, part[:n]...)
	}
}

func usage() (bytes uint64, goroutines int) {
	for range 3 {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse, runtime.NumGoroutine()
}

// BenchmarkDecode decodes a chat request of 400 KiB and computes the prefix chain of its prompt.
func BenchmarkDecode(b *testing.B) {
	s, _ := defaults(b)
	body := []byte(strings.Replace(fmt.Sprintf(chatBody, true, 16), "hello", strings.Repeat("pasta al huevo, ", 25<<10), 1))
	b.SetBytes(int64(len(body)))
	b.ReportAllocs()
	for b.Loop() {
		c, err := decodeCompletion(body, true, s)
		assert.NilError(b, err)
		assert.Equal(b, len(prefix.Chain(1, c.prompt)), 102)
	}
}

// BenchmarkHomes measures one lookup for a client account among 1,400 VMs.
func BenchmarkHomes(b *testing.B) {
	vms := make([]watch.VM, 1400)
	for i := range vms {
		vms[i] = watch.VM{Name: fmt.Sprint("e", i), FailureDomain: fmt.Sprint("d", i%23)}
	}
	for b.Loop() {
		shuffleByDomain(homeVMs(slices.Clone(vms), "account", 16))
	}
}
