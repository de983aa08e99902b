package load

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"eelgrasshollow/internal/engineapi"
)

// streamPart is the part of a completion or chunk that the tool looks at.
type streamPart struct {
	errorBody
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
	Usage *engineapi.Usage `json:"usage"`
}

var errNoEnd = errors.New("the stream ended without its end mark")

// streamReader reads one stream and checks order and end.
type streamReader struct {
	sender *sender
	out    *Attempt
	text   strings.Builder
	lastID int
	last   time.Duration
	done   bool
	failed bool
	// resumed says that the stream goes on after lastID; one that begins anew at 1 is
	// right as well.
	resumed bool
}

func (s *sender) readStream(response *http.Response, c call, out *Attempt) {
	out.Streamed = true
	r := streamReader{sender: s, out: out, lastID: c.last, resumed: c.last > 0}
	r.text.WriteString(c.partial)
	err := r.read(response.Body)
	out.text, out.lastID = r.text.String(), r.lastID
	want := c.expected(s.settings)
	switch {
	case out.Violation != "":
	case !strings.HasPrefix(want, r.text.String()):
		out.Violation = "a stream that is not this request's, or out of order"
	case r.failed: // said so openly
	case errors.Is(err, errNoEnd):
		out.Violation = "a stream that ended without an end mark or an error"
	case err != nil:
		out.Code = codeTransport
	default:
		out.judge(r.text.String(), want)
	}
}

// read returns nil after the end mark, errNoEnd at an end without one, and the
// connection's error otherwise.
func (r *streamReader) read(body io.Reader) error {
	lines := bufio.NewReader(body)
	for !r.done && !r.failed {
		line, err := lines.ReadString('\n')
		if err == io.EOF {
			return errNoEnd
		}
		if err != nil {
			return err
		}
		r.line(strings.TrimRight(line, "\r\n"))
	}
	return nil
}

func (r *streamReader) line(line string) {
	if id, ok := strings.CutPrefix(line, "id:"); ok {
		r.position(strings.TrimSpace(id))
	}
	data, ok := strings.CutPrefix(line, "data:")
	if !ok {
		return
	}
	data = strings.TrimSpace(data)
	if data == "[DONE]" {
		r.done = true
		return
	}
	var part streamPart
	if json.Unmarshal([]byte(data), &part) != nil {
		r.out.Violation = "a stream event that is no JSON"
		return
	}
	r.part(part)
}

// position checks that positions go up one by one.
func (r *streamReader) position(text string) {
	n, err := strconv.Atoi(text)
	if err != nil {
		return // positions of another form are the server's own
	}
	if r.resumed && n == 1 {
		r.text.Reset()
		r.lastID = 0
	}
	r.resumed = false
	if n != r.lastID+1 {
		r.out.Violation = "stream positions are not one after the other"
	}
	r.lastID = n
}

func (r *streamReader) part(part streamPart) {
	if part.Error != nil {
		r.failed = true
		r.out.Code, r.out.Outcome = part.Error.Code, part.Error.Outcome
		if r.out.Code == "" {
			r.out.Code = part.Error.Type
		}
		return
	}
	if part.Usage != nil {
		r.out.Usage = *part.Usage
	}
	if len(part.Choices) == 0 || part.Choices[0].Delta.Content == "" {
		return
	}
	now := r.sender.since()
	if r.out.FirstByte == 0 {
		r.out.FirstByte = now
	} else {
		r.out.TokenGaps = append(r.out.TokenGaps, now-r.last)
	}
	r.last = now
	r.text.WriteString(part.Choices[0].Delta.Content)
}
