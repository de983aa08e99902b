// Package explain tells the story of one request from the structured logs of all VMs:
// what was decided about it, by which inputs, and what the processes believed then.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLine bounds one line of a log, in bytes.
const maxLine = 1 << 20

// timeLayout is how the daemons write the time of a line.
const timeLayout = "2006-01-02T15:04:05.000Z0700"

// Line is one structured line of a log.
type Line struct {
	VM      string
	At      time.Time // by the VM's clock of the time of day
	Level   string
	Message string
	Request string // "" for a line that is about no request
	// Collected is the collector's time since its start. HasCollected says whether the
	// input had one before the line.
	Collected    time.Duration
	HasCollected bool
	Fields       map[string]any
}

// Text is a field as text, "" when it is missing.
func (l *Line) Text(field string) string {
	s, _ := l.Fields[field].(string) // a field of another form is no text
	return s
}

// Number is a field as a number, 0 when it is missing.
func (l *Line) Number(field string) float64 {
	n, _ := l.Fields[field].(json.Number) // a field of another form is no number
	f, _ := n.Float64()                   // the decoder took it for a number
	return f
}

// header are the fields that every line has.
type header struct {
	VM      string `json:"vm"`
	TS      string `json:"ts"`
	Level   string `json:"level"`
	Message string `json:"msg"`
	Request string `json:"request"`
}

// Read reads the structured lines of a log. A line may have the collector's time, in
// seconds, and the VM's name before it. Other lines are skipped and counted.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if l, ok := parse(scanner.Bytes()); ok {
			lines = append(lines, l)
		} else if len(bytes.TrimSpace(scanner.Bytes())) > 0 {
			skipped++
		}
	}
	return lines, skipped, errors.Wrap(scanner.Err(), "read log")
}

func parse(data []byte) (Line, bool) {
	start := bytes.IndexByte(data, '{')
	if start < 0 {
		return Line{}, false
	}
	var h header
	fields := map[string]any{}
	if json.Unmarshal(data[start:], &h) != nil {
		return Line{}, false
	}
	decoder := json.NewDecoder(bytes.NewReader(data[start:]))
	decoder.UseNumber() // identities are larger than a float64 holds
	if decoder.Decode(&fields) != nil {
		return Line{}, false
	}
	at, err := time.Parse(timeLayout, h.TS)
	if err != nil || h.Message == "" {
		return Line{}, false
	}
	for _, f := range []string{"vm", "ts", "level", "msg", "logger", "request"} {
		delete(fields, f)
	}
	l := Line{VM: h.VM, At: at, Level: h.Level, Message: h.Message, Request: h.Request, Fields: fields}
	if before := strings.Fields(string(data[:start])); len(before) > 0 {
		if seconds, err := strconv.ParseFloat(before[0], 64); err == nil {
			l.Collected, l.HasCollected = time.Duration(seconds*float64(time.Second)), true
		}
	}
	return l, true
}
