package consensus

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a membership that is reported as committed while the next leader may not have it.
func TestMembershipIsPendingUntilCommitted(t *testing.T) {
	s := newSim(t, 1, 4)
	s.restoreAndElect()
	leader := s.leader()
	removed := leader.id%4 + 1
	s.advance(simElection)
	assert.Assert(t, !leader.core.Status().MembersPending)
	for id := range s.nodes {
		s.blocked[[2]uint64{id, leader.id}] = id != leader.id
	}
	_, err := leader.core.RemoveMember(removed)
	assert.NilError(t, err)
	s.processReady(leader)
	s.advance(2 * simHeartbeat)
	assert.Assert(t, leader.core.Status().MembersPending)
	clear(s.blocked)
	s.advance(simElection)
	assert.Assert(t, !s.leader().core.Status().MembersPending)
}
