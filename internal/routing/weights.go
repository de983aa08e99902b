package routing

import (
	"time"

	"eelgrasshollow/internal/digest"
)

// weightsKept is how long hearsay of loaded weights counts.
const weightsKept = 10 * time.Second

// weights lists what the endpoint's own report says it has loaded.
func (s *State) weights() []digest.Loaded {
	var all []digest.Loaded
	at := digest.Of(s.id, s.run)
	for model, version := range s.Load.Versions {
		all = append(all, digest.Loaded{At: at, Weights: digest.WeightsOf(model, version)})
	}
	return all
}

// hearWeights notes what a peer read in the endpoint's report.
func (s *State) hearWeights(w digest.Weights, now time.Time) {
	if s.heard == nil {
		s.heard = map[digest.Weights]time.Time{}
	}
	s.heard[w] = now
	for old, at := range s.heard {
		if now.Sub(at) > weightsKept {
			delete(s.heard, old)
		}
	}
}

// runs reports whether the endpoint may have the weights loaded: yes when nothing is
// known, as the engine itself refuses others.
func (s *State) runs(model, version string, now time.Time) bool {
	if model == "" || version == "" {
		return true
	}
	if loaded, known := s.Load.Versions[model]; known && now.Sub(s.LoadAt) <= weightsKept {
		return loaded == version
	}
	known := false
	for w, at := range s.heard {
		if now.Sub(at) > weightsKept {
			continue
		}
		if w == digest.WeightsOf(model, version) {
			return true
		}
		known = true
	}
	return !known
}
