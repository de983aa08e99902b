// Package crowd plays clients and servers that don't behave against a process of a test, and reads what the process holds.
package crowd

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"net"
	"net/rpc"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Crowd is a number of clients that each open a connection, send, and keep the connection open.
type Crowd struct {
	Name    string
	Clients int
	// Send writes to a connection until it is closed or its deadline passes; n is the client's number.
	Send func(conn net.Conn, n int)
}

// NewCrowd returns a crowd whose clients all write the same; see Write.
func NewCrowd(name string, clients int, start string, total int, unit func(i int) string) Crowd {
	return Crowd{name, clients, func(conn net.Conn, _ int) { Write(conn, start, total, unit) }}
}

// Gather connects the crowd to an address and returns after all clients have sent or have been refused, or after
// duration. The connections stay open until release is called.
func (c Crowd) Gather(address string, duration time.Duration) (release func()) {
	const dialers = 50 // at a time, so that the queue of new connections does not overflow
	conns := make([]net.Conn, c.Clients)
	slots := make(chan struct{}, dialers)
	deadline := time.Now().Add(duration)
	var wg sync.WaitGroup
	for n := range c.Clients {
		wg.Go(func() {
			slots <- struct{}{}
			conn, err := net.DialTimeout("tcp", address, time.Until(deadline))
			<-slots
			if err != nil {
				return // refused
			}
			conns[n] = conn
			_ = conn.SetDeadline(deadline) // the connection may be closed already
			c.Send(conn, n)
		})
	}
	wg.Wait()
	return func() {
		for _, conn := range conns {
			if conn != nil {
				_ = conn.Close() // the process may have closed it
			}
		}
	}
}

// Write writes a start and then a unit for each index, total bytes in all, until the connection fails.
func Write(conn net.Conn, start string, total int, unit func(i int) string) {
	const chunk = 4 << 10
	buffer := []byte(start)
	for i, sent := 0, 0; sent < total; i++ {
		buffer = append(buffer, unit(i)...)
		if len(buffer) < chunk && sent+len(buffer) < total {
			continue
		}
		n, err := conn.Write(buffer)
		if err != nil {
			return
		}
		sent, buffer = sent+n, buffer[:0]
	}
}

// ShortField returns a field line of a few bytes, with another name for each index.
func ShortField(i int) string { return fmt.Sprintf("a%x:\r\n", i) }

// Constant returns a unit that is the same for each index.
func Constant(text string) func(int) string { return func(int) string { return text } }

const (
	crowdClients = 200
	// kilobyte is a unit of about 1 kB.
	kilobyte = 1000
	// longBytes is what each client sends in long units, and shortBytes in short ones, whose memory is a multiple.
	longBytes, shortBytes = 1 << 20, 256 << 10
)

// Heads returns crowds that send heads, and what follows them, without end. path is that of the requests.
func Heads(path string) []Crowd {
	const host = " HTTP/1.1\r\nHost: h.example\r\n"
	get, chunked := "GET "+path+host, "POST "+path+host+"Transfer-Encoding: chunked\r\n\r\n"
	long := Constant(strings.Repeat("x", kilobyte))
	repeat := func(name, start string, total int, unit func(int) string) Crowd {
		return NewCrowd(name, crowdClients, start, total, unit)
	}
	return []Crowd{
		repeat("short fields", get, shortBytes, ShortField),
		repeat("one long line", get+"X-Long: ", longBytes, long),
		repeat("long request line", "GET /", longBytes, long),
		repeat("empty lines", "\r\n", longBytes, Constant("\r\n")),
		repeat("trailers", chunked+"0\r\n", shortBytes, ShortField),
		repeat("chunk extensions", chunked+"1", longBytes, Constant(";"+strings.Repeat("e", kilobyte))),
		NewCrowd("unfinished heads", 800, get, 12<<10, ShortField),
	}
}

// Announced returns peers that announce a gob message of 1 GB and send a part of it. The length of a message is
// a byte count, negated, and its bytes.
func Announced() Crowd {
	return NewCrowd("announced message", 2, "\xfc\x3f\xff\xff\xff", 200<<20, Constant(strings.Repeat("x", 4<<10)))
}

// UnreadCalls returns peers that call a method over and over and read no response.
func UnreadCalls() Crowd {
	const callBytes = 4 << 20
	var calls bytes.Buffer
	encoder := gob.NewEncoder(&calls)
	for seq := uint64(0); calls.Len() < callBytes; seq++ {
		for _, message := range []any{rpc.Request{ServiceMethod: "Peer.Ping", Seq: seq}, struct{}{}} {
			if err := encoder.Encode(message); err != nil {
				panic(err) // can't happen: the types can be encoded, and a buffer takes all bytes
			}
		}
	}
	return Crowd{"unread calls", crowdClients, func(conn net.Conn, _ int) {
		_, _ = conn.Write(calls.Bytes()) // the process need not take them
	}}
}

// Silent returns clients that send nothing.
func Silent(clients int) Crowd { return Crowd{"silent", clients, func(net.Conn, int) {}} }

const (
	http2Preface  = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	frameSettings = 4
	frameHeaders  = 1
	frameContinue = 9
	endHeaders    = 4
)

// frame returns an HTTP/2 frame.
func frame(kind, flags byte, stream int, payload string) string {
	return string([]byte{byte(len(payload) >> 16), byte(len(payload) >> 8), byte(len(payload)), kind, flags,
		byte(stream >> 24), byte(stream >> 16), byte(stream >> 8), byte(stream)}) + payload
}

// literalField returns an HPACK field that is not indexed.
func literalField(name, value string) string {
	return "\x00" + string([]byte{byte(len(name))}) + name + string([]byte{byte(len(value))}) + value
}

// HTTP2 returns crowds that send heads over HTTP/2: one without end, and many within the limits whose bodies do not come.
func HTTP2(path string) []Crowd {
	start := http2Preface + frame(frameSettings, 0, 0, "")
	request := literalField(":method", "POST") + literalField(":scheme", "http") + literalField(":path", path) + literalField(":authority", "h.example")
	field := func(i int) string { return literalField(fmt.Sprintf("a%x", i), "") }
	fields := request
	for i := range 800 { // each counts some 37 bytes towards the limit for a head
		fields += field(i)
	}
	return []Crowd{
		NewCrowd("http2 head without end", crowdClients, start+frame(frameHeaders, 0, 1, request), shortBytes,
			func(i int) string { return frame(frameContinue, 0, 1, field(i)) }),
		NewCrowd("http2 streams without body", crowdClients, start, 100*len(fields), func(i int) string { return frame(frameHeaders, endHeaders, 2*i+1, fields) }),
	}
}

// Resources are what a process holds.
type Resources struct {
	Resident, MostResident int64 // bytes
	Descriptors            int
}

// ResourcesOf returns what a process holds, or an error if it has ended.
func ResourcesOf(pid int) (Resources, error) {
	var r Resources
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return r, errors.Wrap(err, "process has ended")
	}
	if _, state, _ := bytes.Cut(stat, []byte(") ")); len(state) == 0 || state[0] == 'Z' {
		return r, errors.New("process has ended")
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return r, errors.Wrap(err, "process has ended")
	}
	for line := range strings.Lines(string(status)) {
		f := strings.Fields(line)
		if len(f) < 2 {
			continue
		}
		kb, _ := strconv.ParseInt(f[1], 10, 64) // only the lines below have numbers of kB that are used
		switch f[0] {
		case "VmRSS:":
			r.Resident = kb << 10
		case "VmHWM:":
			r.MostResident = kb << 10
		}
	}
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	r.Descriptors = len(entries)
	return r, errors.Wrap(err, "list descriptors")
}
