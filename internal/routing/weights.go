package routing

import (
	"slices"
	"time"

	"eelgrasshollow/internal/digest"
	"eelgrasshollow/internal/engineapi"
)

// weightsReportTTL is how long the weights in a load report or a peer's digest are valid.
const weightsReportTTL = 10 * time.Second

// drainingWeights represents in digests an endpoint that is being drained.
const drainingWeights digest.WeightsID = 0

func (s *State) draining() bool { return s.LoadReport.Role == engineapi.RoleDrain }

// weights returns the digest entries for the weights in the endpoint's load report.
func (s *State) weights() []digest.LoadedWeights {
	at := digest.EndpointRunOf(s.id, s.run)
	if s.draining() {
		return []digest.LoadedWeights{{EndpointRun: at, Weights: drainingWeights}}
	}
	var all []digest.LoadedWeights
	for model, version := range s.LoadReport.Versions {
		all = append(all, digest.LoadedWeights{EndpointRun: at, Weights: digest.WeightsIDOf(model, version)})
	}
	return all
}

// setPeerWeights replaces the weights that a peer's digest reported for the endpoint.
func (s *State) setPeerWeights(weights []digest.WeightsID, now time.Time) {
	s.peerWeights, s.peerWeightsAt = weights, now
}

// mayServe reports whether the endpoint may serve the model version. An endpoint without a
// recent report may, because the engine itself refuses requests for other versions.
func (s *State) mayServe(model, version string, now time.Time) bool {
	if model == "" || version == "" {
		return true
	}
	known := s.hasRecentReport(now) || s.hasRecentPeerWeights(now)
	return !known || s.confirmedServing(model, version, now)
}

// confirmedServing reports whether a recent report states that the endpoint serves the
// version.
func (s *State) confirmedServing(model, version string, now time.Time) bool {
	if s.hasRecentReport(now) {
		return !s.draining() && s.LoadReport.Versions[model] == version
	}
	return s.hasRecentPeerWeights(now) && slices.Contains(s.peerWeights, digest.WeightsIDOf(model, version))
}

func (s *State) hasRecentReport(now time.Time) bool {
	return len(s.LoadReport.Versions) > 0 && now.Sub(s.LoadReportedAt) <= weightsReportTTL
}

func (s *State) hasRecentPeerWeights(now time.Time) bool {
	return len(s.peerWeights) > 0 && now.Sub(s.peerWeightsAt) <= weightsReportTTL
}
