package fleetview

import (
	"testing"

	"eelgrasshollow/internal/fleet"

	"gotest.tools/v3/assert"
)

// A model server that is listed without weights is down, or its entry is not the platform's; it must get no requests.
// Servers of services without models have no weights and stay in use, also where the service has a cache.
func TestModelServerWithoutWeightsGetsNoRequests(t *testing.T) {
	config := &fleet.Config{Version: 1, Services: []*fleet.Service{{Name: "llm", Engine: &fleet.Engine{Models: []string{"m"}}}, {Name: "app"}, {Name: "cache", Engine: &fleet.Engine{}}}}
	assert.NilError(t, config.Check())
	weights := []fleet.Weights{{Model: "m", Version: 1}}
	view := NewView(config,
		fleet.Server{ID: "complete", Service: "llm", Address: "a", Weights: weights}, fleet.Server{ID: "bare", Service: "llm", Address: "b"},
		fleet.Server{ID: "plain", Service: "app", Address: "c"}, fleet.Server{ID: "unknown", Service: "x", Address: "d"},
		fleet.Server{ID: "caching", Service: "cache", Address: "e"})
	unused := map[string]bool{}
	for _, e := range view.snapshot().Endpoints {
		unused[e.Address] = e.Leaving
	}
	assert.DeepEqual(t, unused, map[string]bool{"a": false, "b": true, "c": false, "d": false, "e": false})
	assert.DeepEqual(t, view.modelServersWithoutWeights(), []string{"bare"})
	assert.Equal(t, view.outOfUse(), 1)
}
