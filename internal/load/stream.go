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

// completionResponse holds the fields of a completion or of a chunk of a stream that the
// load generator reads.
type completionResponse struct {
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

var errMissingEnd = errors.New("the stream ended without its end mark")

// streamReader reads one stream and checks the order of events and the end mark.
type streamReader struct {
	sender        *sender
	out           *Attempt
	text          strings.Builder
	lastEventID   int
	lastTokenAt   time.Duration // since the start of the run
	ended         bool
	errorReceived bool
	// resumed is true until the first position of a stream that was asked to continue after
	// lastEventID. A stream that starts again at position 1 is correct as well.
	resumed bool
}

func (s *sender) readStream(response *http.Response, c call, out *Attempt) {
	out.Streamed = true
	r := streamReader{sender: s, out: out, lastEventID: c.lastEventID, resumed: c.lastEventID > 0}
	r.text.WriteString(c.partialText)
	err := r.read(response.Body)
	out.partialText, out.lastEventID = r.text.String(), r.lastEventID
	want := c.expectedText(s.settings)
	switch {
	case out.Violation != "":
	case !strings.HasPrefix(want, r.text.String()):
		out.Violation = "a stream that is not this request's, or out of order"
	case r.errorReceived: // the stream reported the failure in an error event
	case errors.Is(err, errMissingEnd):
		out.Violation = "a stream that ended without an end mark or an error"
	case err != nil:
		out.Code = codeTransport
	default:
		out.checkText(r.text.String(), want)
	}
}

// read returns nil after the end mark or an error event, errMissingEnd if the stream ends
// without either, and the connection's error otherwise.
func (r *streamReader) read(body io.Reader) error {
	lines := bufio.NewReader(body)
	for !r.ended && !r.errorReceived {
		line, err := lines.ReadString('\n')
		if err == io.EOF {
			return errMissingEnd
		}
		if err != nil {
			return err
		}
		r.handleLine(strings.TrimRight(line, "\r\n"))
	}
	return nil
}

func (r *streamReader) handleLine(line string) {
	if id, ok := strings.CutPrefix(line, "id:"); ok {
		r.handlePosition(strings.TrimSpace(id))
	}
	data, ok := strings.CutPrefix(line, "data:")
	if !ok {
		return
	}
	data = strings.TrimSpace(data)
	if data == "[DONE]" {
		r.ended = true
		return
	}
	var response completionResponse
	if json.Unmarshal([]byte(data), &response) != nil {
		r.out.Violation = "a stream event that is no JSON"
		return
	}
	r.handleResponse(response)
}

// handlePosition checks that positions increase by one.
func (r *streamReader) handlePosition(text string) {
	n, err := strconv.Atoi(text)
	if err != nil {
		return // the server numbers events in another form
	}
	if r.resumed && n == 1 {
		r.text.Reset()
		r.lastEventID = 0
	}
	r.resumed = false
	if n != r.lastEventID+1 {
		r.out.Violation = "stream positions are not one after the other"
	}
	r.lastEventID = n
}

func (r *streamReader) handleResponse(response completionResponse) {
	if response.Error != nil {
		r.errorReceived = true
		r.out.Code, r.out.Outcome = response.Error.Code, response.Error.Outcome
		if r.out.Code == "" {
			r.out.Code = response.Error.Type
		}
		return
	}
	if response.Usage != nil {
		r.out.Usage = *response.Usage
	}
	if len(response.Choices) == 0 || response.Choices[0].Delta.Content == "" {
		return
	}
	now := r.sender.elapsed()
	if r.out.FirstByte == 0 {
		r.out.FirstByte = now
	} else {
		r.out.TokenGaps = append(r.out.TokenGaps, now-r.lastTokenAt)
	}
	r.lastTokenAt = now
	r.text.WriteString(response.Choices[0].Delta.Content)
}
