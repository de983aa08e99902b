package engine

import (
	"context"
	"encoding/json"
	"net/http"

	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/errkind"

	"github.com/google/uuid"
)

// Export requests an engine to copy blocks to a kept-cache store.
func (c *Client) Export(ctx context.Context, address string, blocks engineapi.KVRequest) (engineapi.KVReply, error) {
	var reply engineapi.KVReply
	body, err := json.Marshal(blocks)
	if err != nil {
		return reply, errkind.Wrap(err, errkind.Internal, "encode request of /kv/export")
	}
	call := Call{Address: address, ID: uuid.NewString(), Method: http.MethodPost, Path: "/kv/export", Body: body}
	request, err := call.request(ctx)
	if err != nil {
		return reply, err
	}
	response, err := c.ownCall(ctx, request)
	if err != nil {
		return reply, err
	}
	defer func() { _ = response.Body.Close() }()
	whole, err := c.readResponse(ctx, response, nil)
	if err != nil {
		return reply, err
	}
	if err := json.Unmarshal(whole.Body, &reply); err != nil {
		return reply, errkind.Wrap(err, errkind.EndpointFailed, "decode response of /kv/export")
	}
	return reply, nil
}

// Export requests an engine to copy blocks to a kept-cache store; see Client.Export.
func (m *Module) Export(ctx context.Context, address string, blocks engineapi.KVRequest) (engineapi.KVReply, error) {
	return m.client.Export(ctx, address, blocks)
}
