package engine

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"eelgrasshollow/internal/errkind"

	"github.com/cockroachdb/errors"
)

// Event is one server-sent event.
type Event struct {
	ID   int // position, or 0 when the event carries none
	Type string
	Data []byte // valid until the next read
}

// EventReader reads server-sent events of bounded size.
type EventReader struct {
	r     *bufio.Reader
	limit int
	data  []byte
}

// readBuffer is the size of a stream's read buffer, in bytes.
const readBuffer = 4 << 10

// NewEventReader reads events of at most limit bytes from r.
func NewEventReader(r io.Reader, limit int) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(r, readBuffer), limit: limit}
}

// Next returns the next event that has data. io.EOF is an end between two events;
// an end within one is io.ErrUnexpectedEOF.
func (e *EventReader) Next() (Event, error) {
	var event Event
	e.data = e.data[:0]
	begun := false
	for {
		line, err := e.line()
		if err != nil {
			if err == io.EOF && (begun || len(line) > 0) {
				err = io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		if len(line) == 0 {
			if len(e.data) > 0 {
				event.Data = e.data[:len(e.data)-1]
				return event, nil
			}
			event, begun = Event{}, false
			continue
		}
		begun = true
		if err := e.field(&event, line); err != nil {
			return Event{}, err
		}
	}
}

func (e *EventReader) field(event *Event, line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		if len(e.data)+len(value)+1 > e.limit {
			return tooLarge(e.limit)
		}
		e.data = append(append(e.data, value...), '\n')
	case "id":
		if n, err := strconv.Atoi(string(value)); err == nil && n > 0 {
			event.ID = n
		}
	case "event":
		event.Type = string(value)
	}
	return nil
}

// RawEvent is one event as it came, with the line that ends it.
type RawEvent struct {
	ID    int // position, or 0 when the event carries none
	Bytes []byte
}

// NextRaw returns the next block of lines up to an empty one, unchanged; the bytes are
// valid until the next read. io.EOF is an end between two events; an end within one is
// io.ErrUnexpectedEOF.
func (e *EventReader) NextRaw() (RawEvent, error) {
	var event RawEvent
	e.data = e.data[:0]
	for {
		raw, err := e.rawLine()
		if err != nil {
			if err == io.EOF && len(e.data)+len(raw) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return RawEvent{}, err
		}
		if len(e.data)+len(raw) > e.limit {
			return RawEvent{}, tooLarge(e.limit)
		}
		e.data = append(e.data, raw...)
		line := trimEnd(raw)
		if len(line) == 0 {
			event.Bytes = e.data
			return event, nil
		}
		var parsed Event
		if bytes.HasPrefix(line, []byte("id")) {
			if err := e.field(&parsed, line); err != nil {
				return RawEvent{}, err
			}
			event.ID = max(event.ID, parsed.ID)
		}
	}
}

// line returns the next line without its end; it is valid until the next read.
func (e *EventReader) line() ([]byte, error) {
	raw, err := e.rawLine()
	return trimEnd(raw), err
}

// rawLine returns the next line with its end; it is valid until the next read.
func (e *EventReader) rawLine() ([]byte, error) {
	part, err := e.r.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return part, err
	}
	long := bytes.Clone(part)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(long) > e.limit {
			return nil, tooLarge(e.limit)
		}
		part, err = e.r.ReadSlice('\n')
		long = append(long, part...)
	}
	return long, err
}

func trimEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}

func tooLarge(limit int) error {
	return errkind.New(errkind.StreamBroken, "event of more than %d bytes", limit)
}
