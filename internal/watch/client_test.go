package watch

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/membership"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

// script answers polls by address as the test says at the time.
type script struct {
	mu     sync.Mutex
	answer map[string]func(*PollArgs, *PollReply) error
	polls  map[string]int
}

func (s *script) Call(ctx context.Context, address, _ string, args, reply any) error {
	s.mu.Lock()
	f := s.answer[address]
	s.polls[address]++
	s.mu.Unlock()
	if f == nil { // silence
		<-ctx.Done()
		return errkind.Wrap(ctx.Err(), errkind.Timeout, "no answer")
	}
	return f(args.(*PollArgs), reply.(*PollReply))
}

func (s *script) set(address string, f func(*PollArgs, *PollReply) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer[address] = f
}

// snapshot answers after a delay with a whole configuration.
func snapshot(revision uint64, delay, age time.Duration, attested bool) func(*PollArgs, *PollReply) error {
	return func(_ *PollArgs, r *PollReply) error {
		time.Sleep(delay)
		b, err := proto.Marshal(&pb.Configuration{Revision: revision})
		r.Revision, r.Snapshot, r.Age, r.Attested = revision, b, age, attested
		return err
	}
}

func startClient(t *testing.T, addresses ...string) (*Client, *script) {
	s := &script{answer: map[string]func(*PollArgs, *PollReply) error{}, polls: map[string]int{}}
	return NewClient(ClientConfig{ControlAddresses: addresses, VM: membership.VM{Name: "vm"}, Caller: s}), s
}

func TestRevisionNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, s := startClient(t, "a")
		s.set("a", snapshot(5, time.Millisecond, 0, true))
		assert.NilError(t, c.Start(t.Context()))
		time.Sleep(time.Second)
		s.set("a", snapshot(3, time.Millisecond, 0, true))
		time.Sleep(time.Second)
		assert.Equal(t, c.View().Revision(), uint64(5))
		assert.NilError(t, c.Stop(t.Context()))
	})
}

// TestLateAnswerIsDatedByItsPoll: what lay on the way for long proves little.
func TestLateAnswerIsDatedByItsPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, s := startClient(t, "a")
		const delay = 1400 * time.Millisecond
		s.set("a", snapshot(5, delay, time.Second, true))
		assert.NilError(t, c.Start(t.Context()))
		time.Sleep(delay + time.Millisecond)
		s.set("a", nil)
		assert.NilError(t, c.Fresh())
		left := DefaultFreshness - delay - time.Second
		time.Sleep(left)
		assert.Equal(t, errkind.Of(c.Fresh()).Kind, errkind.Stale)
		assert.NilError(t, c.Stop(t.Context()))
	})
}

func TestUnattestedAnswerProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, s := startClient(t, "a", "b")
		s.set("a", snapshot(5, time.Millisecond, 0, false))
		s.set("b", snapshot(5, time.Millisecond, 0, false))
		assert.NilError(t, c.Start(t.Context()))
		time.Sleep(5 * time.Second)
		assert.Equal(t, errkind.Of(c.Fresh()).Kind, errkind.Stale)
		assert.Assert(t, s.polls["a"] > 1 && s.polls["b"] > 1, "another replica is asked")
		assert.NilError(t, c.Stop(t.Context()))
	})
}

// TestSilentReplicaIsLeftInTime: the other one is asked before the view goes stale.
func TestSilentReplicaIsLeftInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, s := startClient(t, "a", "b")
		held := func(args *PollArgs, r *PollReply) error {
			time.Sleep(args.Hold)
			r.Held, r.Attested, r.Revision = args.Hold, true, 5
			if args.From == 0 {
				return snapshot(5, 0, 0, true)(args, r)
			}
			return nil
		}
		s.set("a", held)
		s.set("b", held)
		assert.NilError(t, c.Start(t.Context()))
		time.Sleep(3 * time.Second)
		s.set("a", nil)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			assert.NilError(t, c.Fresh())
		}
		assert.NilError(t, c.Stop(t.Context()))
	})
}

// TestStalenessIsAnnounced wakes those who hold connections open.
func TestStalenessIsAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, s := startClient(t, "a")
		s.set("a", snapshot(5, time.Millisecond, 0, true))
		assert.NilError(t, c.Start(t.Context()))
		time.Sleep(time.Second)
		s.set("a", nil)
		time.Sleep(10 * time.Millisecond)
		start, changed := time.Now(), c.Changed()
		<-changed
		assert.Assert(t, c.Fresh() != nil)
		assert.Assert(t, time.Since(start) <= DefaultFreshness)
		assert.NilError(t, c.Stop(t.Context()))
	})
}
