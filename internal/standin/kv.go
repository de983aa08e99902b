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

// export copies held blocks into a kept-cache store.
func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
	request, hashes, err := decodeKV(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	reply := engineapi.KVReply{}
	for _, h := range hashes {
		if e.lookup([]prefix.Hash{h}) == 1 && e.putBlock(r.Context(), request.Store, request.Salt, h) == nil {
			reply.Blocks++
		}
	}
	e.count(func(s *EngineStats) { s.ExportedBlocks += reply.Blocks })
	writeJSON(w, http.StatusOK, reply)
}

func (e *Engine) importBlocks(w http.ResponseWriter, r *http.Request) {
	request, hashes, err := decodeKV(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	n := e.importChain(r.Context(), request.Store, request.Salt, hashes)
	e.store(request.Salt, hashes[:n])
	writeJSON(w, http.StatusOK, engineapi.KVReply{Blocks: n})
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

// importChain fetches leading blocks from a store and returns how many it had.
func (e *Engine) importChain(ctx context.Context, store, salt string, chain []prefix.Hash) int {
	for i, h := range chain {
		if !e.getBlock(ctx, store, salt, h) || !sleep(ctx, e.config.BlockImportTime) {
			chain = chain[:i]
			break
		}
	}
	e.count(func(s *EngineStats) { s.ImportedBlocks += len(chain) })
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
