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

// fakeCaller answers the polls to each address with a handler that tests may replace.
type fakeCaller struct {
	mu       sync.Mutex
	handlers map[string]func(*PollArgs, *PollReply) error // by address
	polls    map[string]int                               // number of polls by address
}

func (f *fakeCaller) Call(ctx context.Context, address, _ string, args, reply any) error {
	f.mu.Lock()
	handler := f.handlers[address]
	f.polls[address]++
	f.mu.Unlock()
	if handler == nil { // the replica does not respond
		<-ctx.Done()
		return errkind.Wrap(ctx.Err(), errkind.Timeout, "no reply")
	}
	return handler(args.(*PollArgs), reply.(*PollReply))
}

func (f *fakeCaller) set(address string, handler func(*PollArgs, *PollReply) error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.handlers[address] = handler
}

// replySnapshot returns a handler that replies with a snapshot after a delay.
func replySnapshot(revision uint64, delay, age time.Duration, attested bool) func(*PollArgs, *PollReply) error {
	return func(_ *PollArgs, reply *PollReply) error {
		time.Sleep(delay)
		data, err := proto.Marshal(&pb.Configuration{Revision: revision})
		reply.Revision, reply.Snapshot, reply.Age, reply.Attested = revision, data, age, attested
		return err
	}
}

// newTestClient returns a client that is not started yet, and its caller.
func newTestClient(t *testing.T, addresses ...string) (*Client, *fakeCaller) {
	caller := &fakeCaller{handlers: map[string]func(*PollArgs, *PollReply) error{}, polls: map[string]int{}}
	return NewClient(ClientConfig{ControlAddresses: addresses, VM: membership.VM{Name: "vm"}, Caller: caller}), caller
}

func TestRevisionNeverDecreases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, caller := newTestClient(t, "a")
		caller.set("a", replySnapshot(5, time.Millisecond, 0, true))
		assert.NilError(t, c.Start(t.Context()))
		time.Sleep(time.Second)
		caller.set("a", replySnapshot(3, time.Millisecond, 0, true))
		time.Sleep(time.Second)
		assert.Equal(t, c.View().Revision(), uint64(5))
		assert.NilError(t, c.Stop(t.Context()))
	})
}

// The age of the view counts from when the poll was sent, not from when a delayed reply
// arrived.
func TestDelayedReplyCountsFromPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, caller := newTestClient(t, "a")
		const delay = 1400 * time.Millisecond
		caller.set("a", replySnapshot(5, delay, time.Second, true))
		assert.NilError(t, c.Start(t.Context()))
		time.Sleep(delay + time.Millisecond)
		caller.set("a", nil)
		assert.NilError(t, c.Fresh())
		left := DefaultFreshness - delay - time.Second
		time.Sleep(left)
		assert.Equal(t, errkind.Of(c.Fresh()).Kind, errkind.Stale)
		assert.NilError(t, c.Stop(t.Context()))
	})
}

// Replies without an attested age don't make the view fresh, and the client switches to
// another replica.
func TestUnattestedReplyIsNotFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, caller := newTestClient(t, "a", "b")
		caller.set("a", replySnapshot(5, time.Millisecond, 0, false))
		caller.set("b", replySnapshot(5, time.Millisecond, 0, false))
		assert.NilError(t, c.Start(t.Context()))
		time.Sleep(5 * time.Second)
		assert.Equal(t, errkind.Of(c.Fresh()).Kind, errkind.Stale)
		assert.Assert(t, caller.polls["a"] > 1 && caller.polls["b"] > 1, "another replica is polled")
		assert.NilError(t, c.Stop(t.Context()))
	})
}

// When a replica stops responding, the client switches to another one before the view
// becomes stale.
func TestUnresponsiveReplicaIsReplacedBeforeStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, caller := newTestClient(t, "a", "b")
		hold := func(args *PollArgs, reply *PollReply) error {
			time.Sleep(args.Hold)
			reply.Held, reply.Attested, reply.Revision = args.Hold, true, 5
			if args.From == 0 {
				return replySnapshot(5, 0, 0, true)(args, reply)
			}
			return nil
		}
		caller.set("a", hold)
		caller.set("b", hold)
		assert.NilError(t, c.Start(t.Context()))
		time.Sleep(3 * time.Second)
		caller.set("a", nil)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			assert.NilError(t, c.Fresh())
		}
		assert.NilError(t, c.Stop(t.Context()))
	})
}

// The Changed channel is closed when the view becomes stale, so that holders of open
// connections notice it.
func TestStalenessClosesChanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, caller := newTestClient(t, "a")
		caller.set("a", replySnapshot(5, time.Millisecond, 0, true))
		assert.NilError(t, c.Start(t.Context()))
		time.Sleep(time.Second)
		caller.set("a", nil)
		time.Sleep(10 * time.Millisecond)
		start, changed := time.Now(), c.Changed()
		<-changed
		assert.Assert(t, c.Fresh() != nil)
		assert.Assert(t, time.Since(start) <= DefaultFreshness)
		assert.NilError(t, c.Stop(t.Context()))
	})
}
