package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"eelgrasshollow/internal/engineapi"
)

// handleOrder executes an order. An engine that checks fencing refuses an order with an old
// fencing number.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o engineapi.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Orders++
	stale := !isNewer(o, e.lastOrder)
	if stale && e.config.ChecksFencing {
		e.stats.Fenced++
		writeJSON(w, http.StatusConflict, engineapi.OrderReply{Term: e.lastOrder.Term, Sequence: e.lastOrder.Sequence, Reason: "old fencing number"})
		return
	}
	if stale {
		e.stats.StaleAccepted++
	}
	if err := e.executeLocked(o); err != nil {
		writeJSON(w, http.StatusUnprocessableEntity, engineapi.OrderReply{Term: o.Term, Sequence: o.Sequence, Reason: err.Error()})
		return
	}
	e.lastOrder = o
	writeJSON(w, http.StatusOK, engineapi.OrderReply{Accepted: true, Term: o.Term, Sequence: o.Sequence})
}

// isNewer reports whether the fencing number of a is above that of b.
func isNewer(a, b engineapi.Order) bool {
	if a.Term != b.Term {
		return a.Term > b.Term
	}
	return a.Sequence > b.Sequence
}

// serveLastOrder responds with the last accepted order.
func (e *Engine) serveLastOrder(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, http.StatusOK, e.lastOrder)
}

// executeLocked executes an order; loading of weights goes on in the background.
func (e *Engine) executeLocked(o engineapi.Order) error {
	switch o.Op {
	case engineapi.OrderLoadModel:
		go e.loadWeights(o, e.incarnation)
		e.loading[o.Model] = true
	case engineapi.OrderUnloadModel:
		delete(e.models, o.Model)
	case engineapi.OrderLoadAdapter:
		e.adapters[o.Adapter] = true
	case engineapi.OrderUnloadAdapter:
		delete(e.adapters, o.Adapter)
	case engineapi.OrderSetRole:
		e.role = o.Role
	default:
		return fmt.Errorf("unknown order %q", o.Op)
	}
	return nil
}

// loadWeights fetches weights and then serves them. It empties the cache, because blocks
// computed with other weights cannot be used. If the engine restarted meanwhile, the weights
// are discarded.
func (e *Engine) loadWeights(o engineapi.Order, incarnation string) {
	if o.Source == "" {
		time.Sleep(e.config.WeightsLoadTime)
	} else if err := e.fetchWeights(o); err != nil {
		e.mu.Lock()
		delete(e.loading, o.Model)
		e.mu.Unlock()
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.loading, o.Model)
	if e.incarnation != incarnation {
		return
	}
	e.models[o.Model] = o.Version
	e.cache = newBlockCache(e.config.CacheBlocks, e.config.BlockTTL)
	e.events.publish(false, engineapi.EventCleared, "", nil)
}

func (e *Engine) fetchWeights(o engineapi.Order) error {
	response, err := http.Get(fmt.Sprintf("http://%s/weights/%s/%s", o.Source, o.Model, o.Version))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("weight store answered %s", response.Status)
	}
	return nil
}
