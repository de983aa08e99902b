package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"
)

// endpoint is a stand-in server. Its answers have no length: each ends with its connection. A request's path says of how
// many pieces the answer consists and how long the work on each takes: PREFIX/PIECES/MILLISECONDS. Answers below
// streamPrefix are streams of events.
type endpoint struct{ id string }

const streamPrefix = "/stream/"

// runEndpoint serves at an address under an ID until the process is killed.
func runEndpoint(args []string) int {
	if len(args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: harness2 endpoint ADDRESS ID")
		return exitNotRun
	}
	l, err := net.Listen("tcp", args[0])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	fmt.Println("listening")
	e := &endpoint{id: args[1]}
	for {
		c, err := l.Accept()
		if err != nil {
			return exitNotRun
		}
		go e.serve(c)
	}
}

// serve answers one request and closes its connection.
func (e *endpoint) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return // a probe of the connection alone
	}
	id := request.Header.Get("X-Request-Id")
	head := fmt.Sprintf("X-Request-Id: %s\r\nX-Instance-Id: %s\r\nConnection: close\r\n", id, e.id)
	if request.URL.Path == "/health" {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n", head)
		return
	}
	if target := request.Header.Get("X-Target-Instance"); target != "" && target != e.id {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%sX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", head)
		return
	}
	pieces, pause := work(request.URL.Path)
	fmt.Printf("runs %s of %d pieces\n", id, pieces)
	stream := strings.HasPrefix(request.URL.Path, streamPrefix)
	kind := "text/plain"
	if stream {
		kind = "text/event-stream"
	}
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: %s\r\nX-Response-Stamp: stamp.%s\r\n\r\n", head, kind, e.id); err != nil {
		return
	}
	for n := 1; n <= pieces; n++ {
		time.Sleep(pause)
		if _, err := fmt.Fprint(c, piece(stream, n, pieces)); err != nil {
			fmt.Printf("stops %s at piece %d: %v\n", id, n, err)
			return
		}
	}
	fmt.Printf("ends %s\n", id)
}

// piece returns a part of an answer.
func piece(stream bool, n, of int) string {
	if stream {
		return fmt.Sprintf("id: %d\ndata: piece %d of %d\n\n", n, n, of)
	}
	return fmt.Sprintf("piece %d of %d\n", n, of)
}

// wholeBody returns the whole answer to a path.
func wholeBody(path string) string {
	pieces, _ := work(path)
	var b strings.Builder
	for n := 1; n <= pieces; n++ {
		b.WriteString(piece(strings.HasPrefix(path, streamPrefix), n, pieces))
	}
	return b.String()
}

func work(path string) (pieces int, pause time.Duration) {
	parts := strings.Split(strings.Trim(path, "/"), "/")
	if len(parts) < 3 {
		return 1, 0
	}
	pieces, _ = strconv.Atoi(parts[len(parts)-2])
	ms, _ := strconv.Atoi(parts[len(parts)-1])
	return pieces, time.Duration(ms) * time.Millisecond
}

// startEndpoint starts a stand-in endpoint as a process of its own, whose output goes to the record.
func (f *fleet) startEndpoint(name, address, id string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	cmd := exec.Command(self, "endpoint", address, id)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := f.run(name, cmd); err != nil {
		return err
	}
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return fmt.Errorf("endpoint %s does not listen at %s", name, address)
	}
	go func() {
		for lines.Scan() {
			f.record.line("%s %s", name, lines.Text())
		}
	}()
	return nil
}
