package engine

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/membudget"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// Guards against events that hold memory beyond the budget of all of them, and against memory that is not given back for the
// next event.
func TestEventsShareMemory(t *testing.T) {
	const limit, large = 1 << 20, 100_000
	budget := membudget.New(membudget.BufferCost*2*large, "test")
	event := "data: " + strings.Repeat("x", large) + "\n\n"
	small := "data: y\n\n"
	read := func(lease *membudget.Lease) *EventReader {
		return NewEventReader(strings.NewReader(event+small+event+event), limit, lease)
	}
	first, second := budget.Lease(0), budget.Lease(0)
	r, other := read(first), read(second)
	for range 2 {
		_, err := r.NextRaw()
		assert.NilError(t, err)
		assert.Assert(t, budget.Held() >= membudget.BufferCost*large)
		_, err = other.NextRaw()
		assert.Assert(t, errkind.Is(err, errkind.StreamBroken), "%v", err)
		other = read(second)
		second.Release()
		next, err := r.NextRaw() // the small one, and then the last
		assert.NilError(t, err)
		if len(next.Bytes) == len(small) {
			assert.Assert(t, budget.Held() < large, "%d bytes are held", budget.Held())
		}
	}
	first.Release()
	assert.Equal(t, budget.Held(), int64(0))
}

// Guards against responses of many calls that together hold more than the budget, and leases that are not released: each form
// of a call against an endpoint that sends without end.
func TestBytesWithoutEndOfEndpointAreBounded(t *testing.T) {
	settings := testSettings()
	settings.MaxAnswer, settings.MaxEvent = 8<<20, 8<<20
	budget := membudget.New(1<<20, "test")
	c, call := startEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/x") && r.URL.RawQuery != "" || r.URL.Path == "/events" {
			w.Header().Set("Content-Type", "text/event-stream")
		}
		block := []byte(strings.Repeat("x", 32<<10))
		for r.Context().Err() == nil {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	})
	c.Close()
	c = New(settings, nil, budget, zap.NewNop())
	t.Cleanup(c.Close)
	const noMemory = "no memory"
	_, err := c.Do(t.Context(), call, 5*time.Second)
	assert.ErrorContains(t, err, noMemory)
	_, err = c.DoOnce(t.Context(), call, allowBegin)
	assert.ErrorContains(t, err, noMemory)
	assert.Equal(t, errkind.Of(err).Outcome, errkind.Unknown)
	_, err = c.Load(t.Context(), call.Address)
	assert.ErrorContains(t, err, noMemory)
	assert.ErrorContains(t, c.Events(t.Context(), call.Address, 0, func(engineapi.Event) error { return nil }), noMemory)
	call.Query = "stream"
	s, err := c.Stream(t.Context(), call, 5*time.Second)
	assert.NilError(t, err)
	_, err = s.Next()
	assert.ErrorContains(t, err, noMemory)
	s.Close()
	assert.Equal(t, budget.Held(), int64(0))

	call.Query, call.Lease = "", c.NewLease()
	_, err = c.Do(t.Context(), call, 5*time.Second)
	assert.ErrorContains(t, err, noMemory)
	assert.Assert(t, budget.Held() > 0, "the caller releases it")
	call.Lease.Release()
	assert.Equal(t, budget.Held(), int64(0))
}
