package fleetview

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"eelgrasshollow/internal/fleet"
	"eelgrasshollow/internal/fleetcontrol"
	"eelgrasshollow/internal/membership"
	"eelgrasshollow/internal/peer"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// replica answers polls as the leader, or names it.
type replica struct {
	leader string // "" leads itself
	all    []string
	reply  func(*fleetcontrol.PollArgs) fleetcontrol.PollReply
}

func (r *replica) Poll(args *fleetcontrol.PollArgs, reply *fleetcontrol.PollReply) error {
	if r.leader != "" {
		*reply = fleetcontrol.PollReply{Leader: r.leader, ControlList: r.all}
		return nil
	}
	*reply = r.reply(args)
	reply.Leads, reply.ControlList = true, r.all
	if !reply.Changed {
		time.Sleep(args.Hold)
	}
	return nil
}

type noList struct{}

func (noList) List(context.Context) ([]fleet.Server, error) { return nil, errors.New("no list") }

func start(t *testing.T, seeds []string, replicas map[string]*replica, lister fleetcontrol.ServerLister) *Client {
	servers := map[string]*peer.Server{}
	for address, r := range replicas {
		servers[address] = peer.NewServer(zap.NewNop(), peer.DefaultSilence)
		assert.NilError(t, servers[address].Register(fleetcontrol.ServiceName, r))
	}
	pool := peer.NewPool(peer.Options{Dial: func(_ context.Context, address string) (net.Conn, error) {
		if servers[address] == nil {
			return nil, errors.New("no route")
		}
		near, far := net.Pipe()
		servers[address].ServeConn(far)
		return near, nil
	}})
	c := NewClient(Config{
		VersionDeadline: weightsBound, VM: membership.VM{Name: "self", Address: "self:1"}, Seeds: seeds, Lister: lister, ListCallsPerSecond: 40, Now: time.Now, Log: zap.NewNop(),
		Decode: func(text []byte) (*fleet.Config, error) { return &fleet.Config{Version: int64(len(text))}, nil },
	})
	c.leader = peer.NewLeaderClient(pool, seeds)
	c.Run = c.run
	assert.NilError(t, c.Start(t.Context()))
	t.Cleanup(func() {
		assert.NilError(t, c.Stop(context.Background()))
		pool.Close()
		for _, s := range servers {
			s.Close()
		}
	})
	return c
}

func document(revision uint64, text string) func(*fleetcontrol.PollArgs) fleetcontrol.PollReply {
	return func(args *fleetcontrol.PollArgs) fleetcontrol.PollReply {
		return fleetcontrol.PollReply{Term: 1, Revision: revision, Changed: args.Revision != revision, Document: []byte(text)}
	}
}

// Pattern: the leader is none of the seeds, and the VM has just started.
func TestLeaderOutsideTheSeedsIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := []string{"a", "b", "c"}
		c := start(t, []string{"a", "b"}, map[string]*replica{
			"a": {leader: "c", all: all}, "b": {leader: "c", all: all}, "c": {reply: document(7, "xx")},
		}, noList{})
		time.Sleep(time.Second)
		assert.Assert(t, c.View().Config != nil)
		assert.Equal(t, c.View().Config.Version, int64(2))
		assert.Assert(t, c.Age() <= 2*time.Second)
	})
}

// An older document, as of a replica that was restored, must not come back into force.
func TestConfigurationNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &replica{reply: document(7, "xxx")}
		c := start(t, []string{"a"}, map[string]*replica{"a": r}, noList{})
		time.Sleep(100 * time.Millisecond)
		c.take(time.Now(), &fleetcontrol.PollReply{Term: 2, Revision: 9, Changed: true, Document: []byte("x"), Leads: true})
		assert.Equal(t, c.View().Config.Version, int64(3))
		c.take(time.Now(), &fleetcontrol.PollReply{Term: 2, Revision: 8, Changed: true, Document: []byte("xxxxx"), Leads: true})
		assert.Equal(t, c.View().Config.Version, int64(3))
	})
}

type oneServer struct{}

func (oneServer) List(context.Context) ([]fleet.Server, error) {
	return []fleet.Server{{ID: "i", Service: "s", Address: "x:1"}}, nil
}

func TestListIsReadDirectlyWhileControlIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := start(t, []string{"gone"}, nil, oneServer{})
		time.Sleep(time.Second)
		assert.Equal(t, len(c.View().Servers), 0)
		time.Sleep(controlSilence + 2*ownListEvery)
		assert.Equal(t, len(c.View().Servers), 1)
		assert.Equal(t, c.Snapshot().Endpoints[0].Name, "i@x:1")
	})
}

const weightsBound = 18 * time.Second

// TestServersWithOverdueWeightsGetNothing: version 2 was named 10 s before this VM started
// and version 3 about 5 s after it started. From the bound after each on, servers with an older one must not
// be used, and a newer version must not start the time of the one before anew.
func TestServersWithOverdueWeightsGetNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		var newest atomic.Int64
		newest.Store(2)
		servers := []fleet.Server{}
		for v := range int64(3) {
			servers = append(servers, fleet.Server{ID: fmt.Sprint("on-", v+1), Address: fmt.Sprint(v), Service: "s", Weights: []fleet.Weights{{Model: "m", Version: v + 1}}})
		}
		leader := &replica{reply: func(args *fleetcontrol.PollArgs) fleetcontrol.PollReply {
			revision := uint64(newest.Load())
			r := fleetcontrol.PollReply{Term: 1, Revision: revision, Servers: 1}
			if args.Revision != revision {
				r.Changed, r.Document, r.Weights = true, []byte("x"), map[string]int64{"m": newest.Load()}
				r.Named = map[string][]fleetcontrol.TargetVersionAge{"m": {{Version: 2, Age: 10*time.Second + time.Since(began)}}}
				if revision == 3 { // a leader that has started since knows the newest only
					r.Named["m"] = []fleetcontrol.TargetVersionAge{{Version: 3}}
				}
			}
			if args.Servers == 0 {
				r.ServersSet, r.ServerList = true, servers
			}
			return r
		}}
		c := start(t, []string{"a:1"}, map[string]*replica{"a:1": leader}, noList{})
		unused := func() (names []string) {
			for _, e := range c.Snapshot().Endpoints {
				if e.Leaving {
					names = append(names, e.KnownIncarnation)
				}
			}
			return names
		}
		time.Sleep(5 * time.Second) // 15 s after version 2
		newest.Store(3)
		assert.DeepEqual(t, unused(), []string(nil))
		time.Sleep(5 * time.Second) // 20 s after version 2, 5 s after version 3
		assert.DeepEqual(t, unused(), []string{"on-1"})
		time.Sleep(15 * time.Second) // 20 s after version 3
		assert.DeepEqual(t, unused(), []string{"on-1", "on-2"})
	})
}
