package routing

import (
	"slices"
	"time"

	"eelgrasshollow/internal/digest"
	"eelgrasshollow/internal/engineapi"
)

// weightsKept is how long hearsay of loaded weights counts.
const weightsKept = 10 * time.Second

// noWeights stands in digests for an endpoint that is being drained.
const noWeights digest.Weights = 0

func (s *State) draining() bool { return s.LoadReport.Role == engineapi.RoleDrain }

// weights lists what the endpoint's own report says it serves.
func (s *State) weights() []digest.Loaded {
	at := digest.Of(s.id, s.run)
	if s.draining() {
		return []digest.Loaded{{At: at, Weights: noWeights}}
	}
	var all []digest.Loaded
	for model, version := range s.LoadReport.Versions {
		all = append(all, digest.Loaded{At: at, Weights: digest.WeightsOf(model, version)})
	}
	return all
}

// hearWeights replaces what peers have read in the endpoint's report.
func (s *State) hearWeights(told []digest.Weights, now time.Time) {
	s.heard, s.heardAt = told, now
}

// runs reports whether the endpoint may serve the weights: yes when nothing is known,
// as the engine itself refuses others.
func (s *State) runs(model, version string, now time.Time) bool {
	if model == "" || version == "" {
		return true
	}
	known := s.reported(now) || s.hearsay(now)
	return !known || s.confirmed(model, version, now)
}

// confirmed reports whether the endpoint is known to serve the weights.
func (s *State) confirmed(model, version string, now time.Time) bool {
	if s.reported(now) {
		return !s.draining() && s.LoadReport.Versions[model] == version
	}
	return s.hearsay(now) && slices.Contains(s.heard, digest.WeightsOf(model, version))
}

func (s *State) reported(now time.Time) bool {
	return len(s.LoadReport.Versions) > 0 && now.Sub(s.LoadReportedAt) <= weightsKept
}

func (s *State) hearsay(now time.Time) bool {
	return len(s.heard) > 0 && now.Sub(s.heardAt) <= weightsKept
}
