package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"eelgrasshollow/internal/errkind"
)

// errorBody is the body of every error response, and the data of the last event of a broken
// stream.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code         string          `json:"code"`
	Type         string          `json:"type"` // same as Code, for clients of the OpenAI API
	Message      string          `json:"message"`
	Outcome      errkind.Outcome `json:"outcome"`
	Retryable    bool            `json:"retryable"`
	RetryAfterMS int64           `json:"retry_after_ms"`
}

// defaultRetryAfter is sent with a retryable error that has no retry delay of its own.
const defaultRetryAfter = time.Second

func marshalError(e *errkind.Error) ([]byte, time.Duration) {
	properties := e.Kind.Properties()
	retryAfter := e.RetryAfter
	if properties.Retryable && retryAfter <= 0 {
		retryAfter = defaultRetryAfter
	}
	detail := errorDetail{
		Code: properties.Code, Type: properties.Code, Message: e.Text, Outcome: e.Outcome,
		Retryable: properties.Retryable, RetryAfterMS: retryAfter.Milliseconds(),
	}
	body, err := json.Marshal(errorBody{detail})
	if err != nil {
		panic(err) // strings and numbers always marshal
	}
	return body, retryAfter
}

// refuse writes the error as the complete response. The text of wrapped causes is left out.
func refuse(w http.ResponseWriter, e *errkind.Error) {
	body, retryAfter := marshalError(e)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if e.Outcome != errkind.NoOutcome {
		h.Set(errkind.OutcomeHeader, string(e.Outcome))
	}
	if retryAfter > 0 {
		h.Set("Retry-After-Ms", strconv.FormatInt(retryAfter.Milliseconds(), 10))
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	w.WriteHeader(e.Kind.Properties().HTTP)
	_, _ = w.Write(body) // the client may have disconnected
}
