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
	ID   int // stream position from the id field, or 0 if there is none
	Type string
	Data []byte // valid until the next call of Next
}

// EventReader reads server-sent events of limited size.
type EventReader struct {
	r     *bufio.Reader
	limit int    // size of an event, in bytes
	data  []byte // current event
}

// readBufferBytes is the size of the read buffer of a connection or stream.
const readBufferBytes = 4 << 10

// NewEventReader returns a reader of events of at most limit bytes each from r.
func NewEventReader(r io.Reader, limit int) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(r, readBufferBytes), limit: limit}
}

// Next returns the next event that has data. If the input ends between two events, the
// error is io.EOF; if it ends within an event, the error is io.ErrUnexpectedEOF.
func (e *EventReader) Next() (Event, error) {
	var event Event
	e.data = e.data[:0]
	inEvent := false
	for {
		line, err := e.readLine()
		if err != nil {
			if err == io.EOF && (inEvent || len(line) > 0) {
				err = io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		if len(line) == 0 {
			if len(e.data) > 0 {
				event.Data = e.data[:len(e.data)-1]
				return event, nil
			}
			event, inEvent = Event{}, false
			continue
		}
		inEvent = true
		if err := e.parseField(&event, line); err != nil {
			return Event{}, err
		}
	}
}

// parseField adds a line "name: value" to the event; it ignores unknown names.
func (e *EventReader) parseField(event *Event, line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		if len(e.data)+len(value)+1 > e.limit {
			return errTooLarge(e.limit)
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

// RawEvent is one server-sent event with its bytes unchanged, including the empty line that
// ends it.
type RawEvent struct {
	ID      int  // stream position from the id field, or 0 if there is none
	HasData bool // there is a data field
	Blank   bool // there are only comments and the empty line
	Foreign bool // there is a line that is neither a comment nor a field of an event
	Bytes   []byte
}

// NextRaw returns the next lines up to and including an empty one, unchanged. The bytes are
// valid until the next call. Errors at the end of the input are those of Next.
func (e *EventReader) NextRaw() (RawEvent, error) {
	event := RawEvent{Blank: true}
	e.data = e.data[:0]
	for {
		raw, err := e.readRawLine()
		if err != nil {
			if err == io.EOF && len(e.data)+len(raw) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return RawEvent{}, err
		}
		if len(e.data)+len(raw) > e.limit {
			return RawEvent{}, errTooLarge(e.limit)
		}
		e.data = append(e.data, raw...)
		line := trimLineEnding(raw)
		if len(line) == 0 {
			event.Bytes = e.data
			return event, nil
		}
		field, _, _ := bytes.Cut(line, []byte(":"))
		event.Blank = event.Blank && len(field) == 0
		switch string(field) {
		case "data":
			event.HasData = true
		case "", "id", "event", "retry":
		default:
			event.Foreign = true
		}
		var parsed Event
		if bytes.HasPrefix(line, []byte("id")) {
			if err := e.parseField(&parsed, line); err != nil {
				return RawEvent{}, err
			}
			event.ID = max(event.ID, parsed.ID)
		}
	}
}

// readLine returns the next line without its line ending; it is valid until the next read.
func (e *EventReader) readLine() ([]byte, error) {
	raw, err := e.readRawLine()
	return trimLineEnding(raw), err
}

// readRawLine returns the next line with its line ending; it is valid until the next read.
func (e *EventReader) readRawLine() ([]byte, error) {
	part, err := e.r.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return part, err
	}
	long := bytes.Clone(part)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(long) > e.limit {
			return nil, errTooLarge(e.limit)
		}
		part, err = e.r.ReadSlice('\n')
		long = append(long, part...)
	}
	return long, err
}

func trimLineEnding(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}

func errTooLarge(limit int) error {
	return errkind.New(errkind.StreamBroken, "event is larger than %d bytes", limit)
}
