package crowd

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Endless is a response of a faulty server: the start, and then the unit over and over until the connection is closed.
type Endless struct {
	Name        string
	Stream      bool // the response to a request for a stream
	Start, Unit string
}

// distinctFields are fields with different names, more than a head may have.
func distinctFields() string {
	const fields = 20_000
	var text strings.Builder
	for i := range fields {
		text.WriteString(ShortField(i))
	}
	return text.String()
}

// EndlessResponses returns the forms that bytes without end can have. identity are the fields by which a response belongs to
// its request; %s stands for the request's ID.
func EndlessResponses(identity string) []Endless {
	head := "HTTP/1.1 200 OK\r\n" + identity
	chunked, stream := head+"Transfer-Encoding: chunked\r\n", head+"Content-Type: text/event-stream\r\n"
	long := strings.Repeat("x", kilobyte)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(long), long)
	return []Endless{
		{"no protocol", false, "", "\x00" + long},
		{"status line", false, "HTTP/1.1 200 ", long},
		{"name of a field", false, head, long},
		{"value of a field", false, head + "X-Long: ", long},
		{"fields", false, head, "A: b\r\n"},
		{"distinct fields", false, head, distinctFields()},
		{"folded field", false, head + "X-Long: a\r\n", " " + long + "\r\n"},
		{"informational heads", false, "", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"},
		{"body", false, head + "\r\n", long},
		{"announced body", false, head + "Content-Length: 1000000000000\r\n\r\n", long},
		{"chunks", false, chunked + "\r\n", chunk},
		{"one chunk", false, chunked + "\r\nffffffffff\r\n", long},
		{"chunk extensions", false, chunked + "\r\n1;", long},
		{"trailers", false, chunked + "\r\n0\r\n", "A: b\r\n"},
		{"body of an error", false, strings.Replace(head, "200 OK", "500 Failed", 1) + "\r\n", long},
		{"body of a refusal", false, strings.Replace(head, "200 OK", "503 Full", 1) + "\r\n", long},
		{"line of an event", true, stream + "\r\n", long},
		{"lines of an event", true, stream + "\r\n", "data: x\n"},
		{"line after an event", true, stream + "\r\nid: 1\ndata: {\"choices\":[]}\n\n", long},
		{"comments", true, stream + "\r\n", ":\n\n"},
		{"body instead of a stream", true, head + "\r\n", long},
		{"trailers of a stream", true, chunked + "Content-Type: text/event-stream\r\n\r\n0\r\n", "A: b\r\n"},
	}
}

// FaultyServer responds to requests with an endless response, as soon as a number of them have arrived.
type FaultyServer struct {
	IDHeader string // field of a request with its ID

	mu       sync.Mutex
	response Endless
	requests int
	arrived  int
	all      chan struct{} // closed when all requests have arrived
}

// Expect sets the response to the next requests, and their number.
func (s *FaultyServer) Expect(response Endless, requests int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.response, s.requests, s.arrived, s.all = response, requests, 0, make(chan struct{})
}

// Arrived returns the number of requests that have arrived.
func (s *FaultyServer) Arrived() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrived
}

func (s *FaultyServer) arrive() (Endless, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.arrived++; s.arrived == s.requests {
		close(s.all)
	}
	return s.response, s.all
}

const (
	// faultyServerWait is how long a faulty server waits for the other requests.
	faultyServerWait = 2 * time.Second
	// faultyBlock is written at once, with a pause after it: all responses grow at the same time, as on a shared link.
	faultyBlock = 16 * kilobyte
	faultyPause = 10 * time.Millisecond
)

// ServeHTTP implements http.Handler.
func (s *FaultyServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	response, all := s.arrive()
	select {
	case <-all:
	case <-time.After(faultyServerWait):
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, strings.ReplaceAll(response.Start, "%s", r.Header.Get(s.IDHeader)))
	units := []byte(strings.Repeat(response.Unit, 1+faultyBlock/len(response.Unit)))
	for rest := units; err == nil; time.Sleep(faultyPause) {
		n := min(faultyBlock, len(rest))
		_, err = conn.Write(rest[:n])
		if rest = rest[n:]; len(rest) == 0 {
			rest = units
		}
	}
}
