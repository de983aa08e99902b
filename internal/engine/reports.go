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
	ctx, cancel := context.WithTimeoutCause(ctx, c.settings.Silence, errSilent)
	defer cancel()
	response, err := c.get(ctx, address, "/load", "")
	if err != nil {
		return load, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := c.whole(ctx, response)
	if err != nil {
		return load, err
	}
	if err := json.Unmarshal(answer.Body, &load); err != nil {
		return load, errkind.Wrap(err, errkind.EndpointFailed, "load report is broken")
	}
	return load, nil
}

// Events hands the endpoint's cache events after a sequence number to handle, in
// order, until ctx ends, the stream ends or handle fails. A quiet engine publishes
// nothing, so here the transport's own probes bound silence.
func (c *Client) Events(ctx context.Context, address string, after uint64, handle func(engineapi.Event) error) error {
	response, err := c.get(ctx, address, "/events", "after="+strconv.FormatUint(after, 10))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	events := NewEventReader(response.Body, int(c.settings.MaxEvent))
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return failure(ctx, err)
		}
		var e engineapi.Event
		if err := json.Unmarshal(bytes.TrimSpace(event.Data), &e); err != nil {
			return errkind.Wrap(err, errkind.EndpointFailed, "cache event is broken")
		}
		if err := handle(e); err != nil {
			return err
		}
	}
}

// get reads a path that is no caller's request; its answer carries no request ID.
func (c *Client) get(ctx context.Context, address, path, query string) (*http.Response, error) {
	call := Call{Address: address, ID: uuid.NewString(), Method: http.MethodGet, Path: path, Query: query}
	request, err := call.request(ctx)
	if err != nil {
		return nil, err
	}
	response, err := c.reports.Do(request)
	if err != nil {
		return nil, failure(ctx, err)
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, errkind.New(errkind.EndpointFailed, "%s answered with status %d", path, response.StatusCode)
	}
	return response, nil
}
