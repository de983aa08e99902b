package engine

import (
	"context"
	"encoding/json"
	"net/http"

	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/errkind"

	"github.com/google/uuid"
)

// Export asks an engine to copy blocks to a kept-cache store.
func (c *Client) Export(ctx context.Context, address string, r engineapi.KVRequest) (engineapi.KVReply, error) {
	var reply engineapi.KVReply
	body, err := json.Marshal(r)
	if err != nil {
		return reply, errkind.Wrap(err, errkind.Internal, "encode export")
	}
	call := Call{Address: address, ID: uuid.NewString(), Method: http.MethodPost, Path: "/kv/export", Body: body}
	request, err := call.request(ctx)
	if err != nil {
		return reply, err
	}
	response, err := c.reports.Do(request)
	if err != nil {
		return reply, failure(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return reply, errkind.New(errkind.EndpointFailed, "export answered with status %d", response.StatusCode)
	}
	answer, err := c.whole(ctx, response)
	if err != nil {
		return reply, err
	}
	if err := json.Unmarshal(answer.Body, &reply); err != nil {
		return reply, errkind.Wrap(err, errkind.EndpointFailed, "answer of export is broken")
	}
	return reply, nil
}

// Export asks an engine to copy blocks to a kept-cache store; see Client.Export.
func (m *Module) Export(ctx context.Context, address string, r engineapi.KVRequest) (engineapi.KVReply, error) {
	return m.client.Export(ctx, address, r)
}
