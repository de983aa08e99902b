package engine

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/membudget"

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
	limit int              // size of an event, in bytes
	lease *membudget.Lease // memory of the current event
	data  []byte           // current event
	line  []byte           // current line, for Next
}

// readBufferBytes is the size of the read buffer of a connection or stream.
const readBufferBytes = 4 << 10

// keptBufferBytes is the size up to which the buffer of an event is kept for the next one.
const keptBufferBytes = 8 << 10

// NewEventReader returns a reader of events of at most limit bytes each from r. The lease holds the memory of the current
// event; the caller releases it.
func NewEventReader(r io.Reader, limit int, lease *membudget.Lease) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(r, readBufferBytes), limit: limit, lease: lease}
}

// Next returns the next event that has data. If the input ends between two events, the
// error is io.EOF; if it ends within an event, the error is io.ErrUnexpectedEOF.
func (e *EventReader) Next() (Event, error) {
	var event Event
	e.begin()
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
		if err := e.hold(len(value) + 1); err != nil {
			return err
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
	e.begin()
	for {
		start := len(e.data)
		if err := e.appendLine(&e.data); err != nil {
			if err == io.EOF && len(e.data) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return RawEvent{}, err
		}
		line := trimLineEnding(e.data[start:])
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

// begin drops the event before and gives back its memory.
func (e *EventReader) begin() {
	e.data, e.line = e.data[:0], e.line[:0]
	if cap(e.data) > keptBufferBytes {
		e.data = nil
	}
	if cap(e.line) > keptBufferBytes {
		e.line = nil
	}
	e.lease.Release()
}

// hold takes memory for n more bytes of the current event.
func (e *EventReader) hold(n int) error {
	if held := cap(e.data) + cap(e.line) + n; !e.lease.Resize(membudget.BufferCost * int64(held)) {
		return errkind.New(errkind.StreamBroken, "no memory for an event of %d bytes", len(e.data)+len(e.line)+n)
	}
	return nil
}

// readLine returns the next line without its line ending; it is valid until the next read.
func (e *EventReader) readLine() ([]byte, error) {
	e.line = e.line[:0]
	err := e.appendLine(&e.line)
	return trimLineEnding(e.line), err
}

// appendLine appends the next line with its line ending to data or line, which may hold at most limit bytes.
func (e *EventReader) appendLine(buffer *[]byte) error {
	for {
		part, err := e.r.ReadSlice('\n')
		if len(*buffer)+len(part) > e.limit {
			return errTooLarge(e.limit)
		}
		if err := e.hold(len(part)); err != nil {
			return err
		}
		*buffer = append(*buffer, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

func trimLineEnding(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}

func errTooLarge(limit int) error {
	return errkind.New(errkind.StreamBroken, "event is larger than %d bytes", limit)
}
