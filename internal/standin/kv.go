package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/prefix"
)

// exportBlocks serves POST /kv/export: it copies the listed blocks that are cached into a
// kept-cache store.
func (e *Engine) exportBlocks(w http.ResponseWriter, r *http.Request) {
	request, hashes, err := decodeKV(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	reply := engineapi.KVReply{}
	for _, h := range hashes {
		if e.cachedBlocks(request.Salt, []prefix.Hash{h}) == 1 && e.putBlock(r.Context(), request.Store, request.Salt, h) == nil {
			reply.Blocks++
		}
	}
	e.updateStats(func(s *EngineStats) { s.ExportedBlocks += reply.Blocks })
	writeJSON(w, http.StatusOK, reply)
}

// importBlocks serves POST /kv/import: it copies blocks from a kept-cache store into the cache.
func (e *Engine) importBlocks(w http.ResponseWriter, r *http.Request) {
	request, hashes, err := decodeKV(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	imported := e.importChain(r.Context(), request.Store, request.Salt, hashes)
	e.storeBlocks(request.Salt, hashes[:imported])
	writeJSON(w, http.StatusOK, engineapi.KVReply{Blocks: imported})
}

func decodeKV(r *http.Request) (engineapi.KVRequest, []prefix.Hash, error) {
	var request engineapi.KVRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		return request, nil, err
	}
	hashes := make([]prefix.Hash, len(request.Hashes))
	for i, text := range request.Hashes {
		n, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			return request, nil, err
		}
		hashes[i] = prefix.Hash(n)
	}
	return request, hashes, nil
}

// importChain fetches the leading blocks of a chain from a store, up to the first that the
// store does not have, and returns their number.
func (e *Engine) importChain(ctx context.Context, store, salt string, chain []prefix.Hash) int {
	for i, h := range chain {
		if !e.getBlock(ctx, store, salt, h) || !sleep(ctx, e.config.BlockImportTime) {
			chain = chain[:i]
			break
		}
	}
	e.updateStats(func(s *EngineStats) { s.ImportedBlocks += len(chain) })
	return len(chain)
}

func (e *Engine) getBlock(ctx context.Context, store, salt string, h prefix.Hash) bool {
	status, err := e.blockCall(ctx, http.MethodGet, store, salt, h)
	return err == nil && status == http.StatusOK
}

func (e *Engine) putBlock(ctx context.Context, store, salt string, h prefix.Hash) error {
	status, err := e.blockCall(ctx, http.MethodPut, store, salt, h)
	if err == nil && status != http.StatusNoContent {
		err = fmt.Errorf("store answered %d", status)
	}
	return err
}

// blockCall sends a request for one block of a namespace to a store and returns the response status. The body is the salt.
func (e *Engine) blockCall(ctx context.Context, method, store, salt string, h prefix.Hash) (int, error) {
	url := fmt.Sprintf("http://%s/blocks/%s", store, hexHash(h))
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(salt)))
	if err != nil {
		return 0, err
	}
	response, err := e.client.Do(r)
	if err != nil {
		return 0, err
	}
	_ = response.Body.Close()
	return response.StatusCode, nil
}
