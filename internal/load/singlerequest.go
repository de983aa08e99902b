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

// DefaultTimeout is the default timeout of a single request.
const DefaultTimeout = 20 * time.Second

// SingleRequest is one request to an entry VM, sent once.
type SingleRequest struct {
	Entry          string
	Method         string
	Path           string
	Key            string
	IdempotencyKey string
	RequestID      string
	Body           string // "@FILE" sends the contents of a file
	Timeout        time.Duration
}

// SingleResponse is the response to a SingleRequest.
type SingleResponse struct {
	Status    int
	Outcome   errkind.Outcome
	RequestID string
	Body      string
}

// Do sends the request and reads the whole response. If the connection breaks meanwhile, it
// returns the part received so far and an error.
func (s SingleRequest) Do(ctx context.Context) (SingleResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	body := s.Body
	if path, ok := strings.CutPrefix(body, "@"); ok {
		data, err := os.ReadFile(path)
		if err != nil {
			return SingleResponse{}, errors.Wrap(err, "read body")
		}
		body = string(data)
	}
	request, err := http.NewRequestWithContext(ctx, s.Method, "http://"+s.Entry+s.Path, strings.NewReader(body))
	if err != nil {
		return SingleResponse{}, err
	}
	request.Header.Set("Content-Type", "application/json")
	setIfPresent(request.Header, "Authorization", "Bearer ", s.Key)
	setIfPresent(request.Header, engineapi.HeaderIdempotencyKey, "", s.IdempotencyKey)
	setIfPresent(request.Header, engineapi.HeaderRequestID, "", s.RequestID)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return SingleResponse{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	result := SingleResponse{
		Status:    response.StatusCode,
		Outcome:   errkind.Outcome(response.Header.Get(errkind.OutcomeHeader)),
		RequestID: response.Header.Get(engineapi.HeaderRequestID),
		Body:      string(data),
	}
	return result, errors.Wrap(err, "read response")
}

// setIfPresent sets a header to prefix and value unless value is empty.
func setIfPresent(h http.Header, name, prefix, value string) {
	if value != "" {
		h.Set(name, prefix+value)
	}
}
