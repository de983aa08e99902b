package fleetview

import (
	"maps"

	"eelgrasshollow/internal/fleetcontrol"
	"eelgrasshollow/internal/releasetraffic"

	"go.uber.org/zap"
)

// releaseState is what a Client keeps for rollouts of software versions. The client's mutex guards it.
type releaseState struct {
	history  *releasetraffic.History // nil in deployments without rollouts
	sequence uint64                  // of the last poll that carried counts
	// revision and rollouts are the inputs of the view's last Table.
	revision uint64
	rollouts map[string]releasetraffic.Rollout
	// recordedRevision and recordedRollouts are what the history has last recorded; 0 before the first
	// reply of control. A list that this VM read itself is not recorded.
	recordedRevision uint64
	recordedRollouts map[string]releasetraffic.Rollout
}

// addReleaseCounts adds the counts of running rollouts to a poll, and shortens its hold, so that they
// arrive in time. The caller holds the mutex.
func (c *Client) addReleaseCounts(args *fleetcontrol.PollArgs) {
	args.Rollouts = c.cfg.Releases.Reports(c.View().Rollouts)
	if len(args.Rollouts) == 0 {
		return
	}
	c.releases.sequence++
	args.RolloutSequence, args.Hold = c.releases.sequence, fleetcontrol.RolloutHold
}

// applyReleases applies the rollouts of a reply from control to next. The caller holds the mutex.
func (c *Client) applyReleases(next *View, reply *fleetcontrol.PollReply) {
	// A reply without any comes from a replica of an older build if some were known.
	if reply.Changed && reply.Revision >= next.Revision && len(reply.Rollouts) > 0 {
		received := make(map[string]releasetraffic.Rollout, len(reply.Rollouts))
		for _, r := range reply.Rollouts {
			old, known := next.Rollouts[r.Service]
			if !known || old.Number != r.Number || old.StageNumber != r.StageNumber {
				c.cfg.Log.Info("rollout stage in force", zap.String("service", r.Service), zap.String("to", r.Release), zap.Uint64("number", r.Number),
					zap.Stringer("phase", r.Stage.Phase), zap.Uint64("stage", r.StageNumber), zap.Float64("default_share", r.Stage.Default),
					zap.Any("shares", r.Stage.Shares), zap.Float64("server_share", r.Stage.ServerShare), zap.String("reason", r.Stage.Reason))
			}
			received[r.Service] = r
		}
		next.Rollouts = received
	}
	if c.releases.history != nil && next.Servers != nil && (next.InventoryRevision != c.releases.recordedRevision || !sameStages(next.Rollouts, c.releases.recordedRollouts)) {
		c.releases.history.Record(releaseServers(next), next.Rollouts)
		c.releases.recordedRevision, c.releases.recordedRollouts = next.InventoryRevision, next.Rollouts
		next.Releases = nil // the table depends on the history
	}
	c.updateReleases(next)
}

// updateReleases computes the table of next, if the servers or the rollouts have changed. The caller
// holds the mutex.
func (c *Client) updateReleases(next *View) {
	if c.releases.history == nil && len(next.Rollouts) == 0 {
		return
	}
	if next.Releases != nil && next.InventoryRevision == c.releases.revision && sameStages(next.Rollouts, c.releases.rollouts) {
		return
	}
	c.releases.revision, c.releases.rollouts = next.InventoryRevision, next.Rollouts
	next.Releases = releasetraffic.NewTable(releaseServers(next), next.Rollouts, c.releases.history)
}

// sameStages reports whether two sets of rollouts are at the same stages.
func sameStages(a, b map[string]releasetraffic.Rollout) bool {
	return maps.EqualFunc(a, b, func(x, y releasetraffic.Rollout) bool {
		return x.Number == y.Number && x.StageNumber == y.StageNumber
	})
}

// releaseServers returns the servers of a view in the form that package releasetraffic uses.
func releaseServers(v *View) []releasetraffic.Server {
	servers := make([]releasetraffic.Server, len(v.Servers))
	for i, s := range v.Servers {
		servers[i] = releasetraffic.Server{Key: s.Key(), Service: s.Service, Release: s.Release, Unused: v.unused(s)}
	}
	return servers
}
