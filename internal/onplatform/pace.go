package onplatform

import (
	"slices"

	"eelgrasshollow/platform"
)

const (
	// paceContract is the contract that asks for endpoints that have just started or recovered to be
	// neither flooded nor left idle.
	paceContract = "pressure"
	// paceByContract lets paceContract switch routing.Settings.PaceEndpoints on. It is off: on a
	// deployment with that contract the pace changed nothing for callers (docs/design/pace.md).
	paceByContract = false
)

// paceEndpoints reports whether the settings ask for a pace of started endpoints. byContract is
// paceByContract.
func paceEndpoints(s *platform.Settings, byContract bool) bool {
	return byContract && slices.Contains(s.Contracts, paceContract)
}
