package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/errkind"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// Load reads an endpoint's load report.
func (c *Client) Load(ctx context.Context, address string) (engineapi.Load, error) {
	var load engineapi.Load
	ctx, cancel := context.WithTimeoutCause(ctx, c.settings.SilenceTimeout, errUnresponsive)
	defer cancel()
	response, err := c.get(ctx, address, "/load", "")
	if err != nil {
		return load, err
	}
	defer func() { _ = response.Body.Close() }()
	whole, err := c.readResponse(ctx, response, nil)
	if err != nil {
		return load, err
	}
	if err := json.Unmarshal(whole.Body, &load); err != nil {
		return load, errkind.Wrap(err, errkind.EndpointFailed, "decode load report")
	}
	return load, nil
}

// Events calls handle with each cache event of the endpoint whose sequence number is above
// after, in order, until ctx ends, the stream ends or handle fails. An idle engine publishes
// no events, so there is no timeout between events: a dead connection is detected by the
// TCP probes of the transport.
func (c *Client) Events(ctx context.Context, address string, after uint64, handle func(engineapi.Event) error) error {
	response, err := c.get(ctx, address, "/events", "after="+strconv.FormatUint(after, 10))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	lease := c.NewLease()
	defer lease.Release()
	events := NewEventReader(response.Body, int(c.settings.MaxEvent), lease)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return classify(ctx, err)
		}
		var cacheEvent engineapi.Event
		if err := json.Unmarshal(bytes.TrimSpace(event.Data), &cacheEvent); err != nil {
			return errkind.Wrap(err, errkind.EndpointFailed, "decode cache event")
		}
		if err := handle(cacheEvent); err != nil {
			return err
		}
	}
}

// get sends a GET request that belongs to no client. Its response needs no request ID.
func (c *Client) get(ctx context.Context, address, path, query string) (*http.Response, error) {
	call := Call{Address: address, ID: uuid.NewString(), Method: http.MethodGet, Path: path, Query: query}
	request, err := call.request(ctx)
	if err != nil {
		return nil, err
	}
	return c.ownCall(ctx, request)
}

// ownCall sends a request that belongs to no client on a kept connection.
func (c *Client) ownCall(ctx context.Context, request *http.Request) (*http.Response, error) {
	response, err := c.reports.Do(request)
	switch {
	case err != nil:
		return nil, classify(ctx, err)
	case hasOtherID(response.Header.Values(engineapi.HeaderRequestID), request.Header.Get(engineapi.HeaderRequestID)):
		err = errkind.New(errkind.EndpointFailed, "response belongs to another request")
	case response.StatusCode != http.StatusOK:
		err = errkind.New(errkind.EndpointFailed, "%s returned status %d", request.URL.Path, response.StatusCode)
	default:
		return response, nil
	}
	_ = response.Body.Close()
	return nil, err
}
