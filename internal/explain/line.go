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
	l := Line{Fields: map[string]any{}}
	decoder := json.NewDecoder(bytes.NewReader(data[start:]))
	decoder.UseNumber() // identities are larger than a float64 holds
	if decoder.Decode(&l.Fields) != nil {
		return Line{}, false
	}
	var written, logger string
	for name, to := range map[string]*string{
		"vm": &l.VM, "ts": &written, "level": &l.Level, "msg": &l.Message, "request": &l.Request, "logger": &logger,
	} {
		if value, there := l.Fields[name]; there {
			text, ok := value.(string)
			if !ok {
				return Line{}, false
			}
			*to = text
			delete(l.Fields, name)
		}
	}
	at, err := time.Parse(timeLayout, written)
	if err != nil || l.Message == "" {
		return Line{}, false
	}
	l.At = at
	if before := strings.Fields(string(data[:start])); len(before) > 0 {
		if seconds, err := strconv.ParseFloat(before[0], 64); err == nil {
			l.Collected, l.HasCollected = time.Duration(seconds*float64(time.Second)), true
		}
	}
	return l, true
}
