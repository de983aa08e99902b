package routing

import (
	"context"
	"fmt"
	"time"

	"eelgrasshollow/internal/engineapi"

	"go.uber.org/zap"
)

// PrefixExporter copies blocks from an endpoint to a kept-cache store. The module
// entry.engine implements it.
type PrefixExporter interface {
	// Export makes the endpoint at address copy the blocks named in r and returns how many
	// it has copied. A block is the cache of one piece of a prefix.
	Export(ctx context.Context, address string, r engineapi.KVRequest) (engineapi.KVReply, error)
}

const (
	exportTimeout   = 5 * time.Second
	exportQueueSize = 8
)

// queueExport queues the export of the request's prefix if one is due. If the queue is
// full, the export is dropped; a later request for the prefix queues it again. The caller
// must hold the mutex.
func (m *Module) queueExport(now time.Time, p *Pending) {
	if m.exporter == nil || p.Refusal != nil {
		return
	}
	e := m.core.ExportFor(now, p)
	if e == nil {
		return
	}
	select {
	case m.exports <- *e:
		m.core.RecordExport(now, e.Store.Name, e.Chain) // keeps other VMs from starting the same export
	default:
	}
}

// runExports runs the queued exports one at a time until ctx ends.
func (m *Module) runExports(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-m.exports:
			m.exportPrefix(ctx, e)
		}
	}
}

func (m *Module) exportPrefix(ctx context.Context, e Export) {
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	hashes := make([]string, len(e.Chain))
	for i, h := range e.Chain {
		hashes[i] = fmt.Sprintf("%016x", uint64(h))
	}
	reply, err := m.exporter.Export(ctx, e.Address, engineapi.KVRequest{Salt: e.Seed.Salt(), Hashes: hashes, Store: e.Store.Address})
	copied := min(max(reply.Blocks, 0), len(e.Chain))
	if err != nil {
		copied = 0
	}
	if copied < len(e.Chain) {
		m.mu.Lock()
		m.core.RevertExport(m.now(), e.Store.Name, e.Chain[copied:])
		m.mu.Unlock()
	}
	m.log.Info("prefix kept", zap.String("endpoint", e.Endpoint), zap.String("store", e.Store.Name),
		zap.Int("blocks", copied), zap.Int("wanted", len(hashes)), zap.Error(err))
}
