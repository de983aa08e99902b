package load

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/errkind"
)

// DefaultTimeout bounds a single call.
const DefaultTimeout = 20 * time.Second

// SingleRequest is a single request to an entry VM.
type SingleRequest struct {
	Entry          string
	Method         string
	Path           string
	Key            string
	IdempotencyKey string
	RequestID      string
	Body           string // "@FILE" reads a file
	Timeout        time.Duration
}

// SingleResponse is what came back.
type SingleResponse struct {
	Status    int
	Outcome   errkind.Outcome
	RequestID string
	Body      string
}

// Do sends the request and reads the whole answer.
func (c SingleRequest) Do(ctx context.Context) (SingleResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	body := c.Body
	if path, ok := strings.CutPrefix(body, "@"); ok {
		data, err := os.ReadFile(path)
		if err != nil {
			return SingleResponse{}, errors.Wrap(err, "read body")
		}
		body = string(data)
	}
	r, err := http.NewRequestWithContext(ctx, c.Method, "http://"+c.Entry+c.Path, strings.NewReader(body))
	if err != nil {
		return SingleResponse{}, err
	}
	r.Header.Set("Content-Type", "application/json")
	setIf(r.Header, "Authorization", "Bearer ", c.Key)
	setIf(r.Header, engineapi.HeaderIdempotencyKey, "", c.IdempotencyKey)
	setIf(r.Header, engineapi.HeaderRequestID, "", c.RequestID)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return SingleResponse{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	answer := SingleResponse{
		Status:    response.StatusCode,
		Outcome:   errkind.Outcome(response.Header.Get(errkind.OutcomeHeader)),
		RequestID: response.Header.Get(engineapi.HeaderRequestID),
		Body:      string(data),
	}
	return answer, errors.Wrap(err, "the answer broke off")
}

func setIf(h http.Header, name, before, value string) {
	if value != "" {
		h.Set(name, before+value)
	}
}
