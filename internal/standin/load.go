package standin

import (
	"net/http"
	"time"

	"eelgrasshollow/internal/engineapi"
)

// serveLoad reports the engine's load. The report is up to LoadReportLag old.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := time.Now(); e.reportAt.IsZero() || now.Sub(e.reportAt) >= e.config.LoadReportLag {
		e.loadReport, e.reportAt = e.loadLocked(), now
	}
	report := e.loadReport
	report.AgeMS = time.Since(e.reportAt).Milliseconds()
	writeJSON(w, http.StatusOK, report)
}

func (e *Engine) loadLocked() engineapi.Load {
	e.publishEvicted(e.cache.expire(time.Now()))
	waiting, tokens := e.batch.waiting()
	load := engineapi.Load{
		Incarnation:   e.incarnation,
		Running:       e.running,
		Waiting:       waiting,
		WaitingTokens: tokens,
		BlocksUsed:    len(e.cache.blocks),
		BlocksTotal:   e.cache.capacity,
		Role:          e.role,
		Versions:      map[string]string{},
	}
	for m, v := range e.models {
		load.Versions[m] = v
	}
	for a := range e.adapters {
		load.Adapters = append(load.Adapters, a)
	}
	for m := range e.loading {
		load.Loading = append(load.Loading, m)
	}
	return load
}
