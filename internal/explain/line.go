// Package explain reconstructs one request from the structured logs of all VMs: what was
// decided about it, from which inputs, and the state of the processes at that time.
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

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// timeLayout is the format of the field "ts" in the daemons' log lines.
const timeLayout = "2006-01-02T15:04:05.000Z0700"

// Line is one structured line of a log.
type Line struct {
	VM      string
	At      time.Time // wall clock of the VM
	Level   string
	Message string
	Request string // "" for a line that does not concern a request
	// Collected is the time from the collector's start to this line. HasCollected reports
	// whether the input had such a time before the line.
	Collected    time.Duration
	HasCollected bool
	// Fields are the other fields of the line, without its logger. Numbers are json.Number.
	Fields map[string]any
}

// Text returns a field as text, or "" if it is missing or not a string.
func (l *Line) Text(field string) string {
	s, _ := l.Fields[field].(string) // "" for a field of another type
	return s
}

// Number returns a field as a number, or 0 if it is missing or not a number.
func (l *Line) Number(field string) float64 {
	n, _ := l.Fields[field].(json.Number) // "" for a field of another type
	f, _ := n.Float64()                   // the decoder has validated it; "" gives 0
	return f
}

// Read reads the structured lines of a log. A line may be preceded by the collector's time,
// in seconds, and the VM's name. Other non-blank lines are skipped and counted. A line longer
// than maxLineBytes is an error.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if l, ok := parseLine(scanner.Bytes()); ok {
			lines = append(lines, l)
		} else if len(bytes.TrimSpace(scanner.Bytes())) > 0 {
			skipped++
		}
	}
	return lines, skipped, errors.Wrap(scanner.Err(), "read log")
}

// parseLine parses one line; it reports false if the line is not a structured log line.
func parseLine(data []byte) (Line, bool) {
	start := bytes.IndexByte(data, '{')
	if start < 0 {
		return Line{}, false
	}
	l := Line{Fields: map[string]any{}}
	decoder := json.NewDecoder(bytes.NewReader(data[start:]))
	decoder.UseNumber() // a float64 would round 64-bit IDs
	if decoder.Decode(&l.Fields) != nil {
		return Line{}, false
	}
	var timestamp, logger string
	for name, target := range map[string]*string{
		"vm": &l.VM, "ts": &timestamp, "level": &l.Level, "msg": &l.Message, "request": &l.Request, "logger": &logger,
	} {
		if value, exists := l.Fields[name]; exists {
			text, ok := value.(string)
			if !ok {
				return Line{}, false
			}
			*target = text
			delete(l.Fields, name)
		}
	}
	at, err := time.Parse(timeLayout, timestamp)
	if err != nil || l.Message == "" {
		return Line{}, false
	}
	l.At = at
	if prefix := strings.Fields(string(data[:start])); len(prefix) > 0 {
		if seconds, err := strconv.ParseFloat(prefix[0], 64); err == nil {
			l.Collected, l.HasCollected = time.Duration(seconds*float64(time.Second)), true
		}
	}
	return l, true
}
