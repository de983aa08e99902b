package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"eelgrasshollow/internal/errkind"
)

// errorBody is the body of every refusal and failure, and the last event of a broken stream.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code         string          `json:"code"`
	Type         string          `json:"type"` // as Code, for clients of OpenAI's API
	Message      string          `json:"message"`
	Outcome      errkind.Outcome `json:"outcome"`
	Retryable    bool            `json:"retryable"`
	RetryAfterMS int64           `json:"retry_after_ms"`
}

// defaultRetryAfter is told on a retryable refusal that names no time.
const defaultRetryAfter = time.Second

func bodyOf(e *errkind.Error) ([]byte, time.Duration) {
	row := e.Kind.Answer()
	after := e.RetryAfter
	if row.Retryable && after <= 0 {
		after = defaultRetryAfter
	}
	detail := errorDetail{
		Code: row.Code, Type: row.Code, Message: e.Text, Outcome: e.Outcome,
		Retryable: row.Retryable, RetryAfterMS: after.Milliseconds(),
	}
	body, err := json.Marshal(errorBody{detail})
	if err != nil {
		panic(err) // strings and numbers always marshal
	}
	return body, after
}

// refuse writes the error as the whole answer. Causes stay out of it.
func refuse(w http.ResponseWriter, e *errkind.Error) {
	body, after := bodyOf(e)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if e.Outcome != errkind.NoOutcome {
		h.Set(errkind.HeaderName, string(e.Outcome))
	}
	if after > 0 {
		h.Set("Retry-After-Ms", strconv.FormatInt(after.Milliseconds(), 10))
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}
	w.WriteHeader(e.Kind.Answer().HTTP)
	_, _ = w.Write(body) // a caller that left does not read it
}
