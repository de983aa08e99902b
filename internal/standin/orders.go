package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"eelgrasshollow/internal/engineapi"
)

// order obeys an order, or refuses an old fencing number where the engine checks it.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o engineapi.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Orders++
	old := !newer(o, e.obeyed)
	if old && e.config.ChecksFencing {
		e.stats.Fenced++
		writeJSON(w, http.StatusConflict, engineapi.OrderReply{Term: e.obeyed.Term, Sequence: e.obeyed.Sequence, Reason: "old fencing number"})
		return
	}
	if old {
		e.stats.StaleAccepted++
	}
	if err := e.obeyLocked(o); err != nil {
		writeJSON(w, http.StatusUnprocessableEntity, engineapi.OrderReply{Term: o.Term, Sequence: o.Sequence, Reason: err.Error()})
		return
	}
	e.obeyed = o
	writeJSON(w, http.StatusOK, engineapi.OrderReply{Accepted: true, Term: o.Term, Sequence: o.Sequence})
}

func newer(a, b engineapi.Order) bool {
	if a.Term != b.Term {
		return a.Term > b.Term
	}
	return a.Sequence > b.Sequence
}

func (e *Engine) orderState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, http.StatusOK, e.obeyed)
}

func (e *Engine) obeyLocked(o engineapi.Order) error {
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

// loadWeights fetches weights and then serves them; new weights empty the cache, as
// blocks computed under old ones are worthless.
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
