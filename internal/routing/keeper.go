package routing

import (
	"context"
	"fmt"
	"time"

	"eelgrasshollow/internal/engineapi"

	"go.uber.org/zap"
)

// PrefixExporter copies blocks from an endpoint to a kept-cache store. The module entry.engine
// implements it.
type PrefixExporter interface {
	Export(ctx context.Context, address string, r engineapi.KVRequest) (engineapi.KVReply, error)
}

const (
	exportTimeout = 5 * time.Second
	exportsQueued = 8
)

// keep hands a prefix that is worth keeping to the exporter; what does not fit in its
// queue is asked for again by the next request. The caller holds the mutex.
func (m *Module) keep(now time.Time, p *Pending) {
	if m.keeper == nil || p.Refusal != nil {
		return
	}
	e := m.core.ExportFor(now, p)
	if e == nil {
		return
	}
	select {
	case m.exports <- *e:
		m.core.RecordExport(now, e.Store.Name, e.Chain) // nobody else need begin
	default:
	}
}

// export carries exports out, one at a time.
func (m *Module) export(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-m.exports:
			m.exportOne(ctx, e)
		}
	}
}

func (m *Module) exportOne(ctx context.Context, e Export) {
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	hashes := make([]string, len(e.Chain))
	for i, h := range e.Chain {
		hashes[i] = fmt.Sprintf("%016x", uint64(h))
	}
	reply, err := m.keeper.Export(ctx, e.Address, engineapi.KVRequest{Salt: e.Seed.Salt(), Hashes: hashes, Store: e.Store.Address})
	done := min(max(reply.Blocks, 0), len(e.Chain))
	if err != nil {
		done = 0
	}
	if done < len(e.Chain) {
		m.mu.Lock()
		m.core.RevertExport(time.Now(), e.Store.Name, e.Chain[done:])
		m.mu.Unlock()
	}
	m.log.Info("prefix kept", zap.String("endpoint", e.Endpoint), zap.String("store", e.Store.Name),
		zap.Int("blocks", done), zap.Int("wanted", len(hashes)), zap.Error(err))
}
