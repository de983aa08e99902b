package placement

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/kernel"
	"eelgrasshollow/internal/state"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// noopModule is a kernel module that does nothing.
type noopModule struct{}

func (noopModule) Provision(*kernel.Kernel) error { return nil }
func (noopModule) Start(context.Context) error    { return nil }
func (noopModule) Stop(context.Context) error     { return nil }

type fixedState struct {
	noopModule
	view *state.View
}

func (s *fixedState) View() *state.View { return s.view }

// fakeLeadership is a Leadership whose term the test sets; term 0 means not leading.
type fakeLeadership struct {
	noopModule
	mu   sync.Mutex
	term uint64
}

func (l *fakeLeadership) set(term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.term = term
}

func (l *fakeLeadership) Leading() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term, l.term > 0
}

func (l *fakeLeadership) Leader() string { return "" }

// fakeEngineClient is the Client of a single engine that accepts every order immediately and
// checks no fencing numbers.
type fakeEngineClient struct {
	mu         sync.Mutex
	last       engineapi.Order
	orders     []engineapi.Order
	orderTimes []time.Time
	versions   map[string]string
}

func (e *fakeEngineClient) Load(context.Context, string) (engineapi.Load, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return engineapi.Load{Role: "any", Versions: e.versions}, nil
}

func (e *fakeEngineClient) LastOrder(context.Context, string) (engineapi.Order, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.last, nil
}

func (e *fakeEngineClient) Order(_ context.Context, _ string, o engineapi.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.last = o
	e.orders, e.orderTimes = append(e.orders, o), append(e.orderTimes, time.Now())
	return nil
}

// accepted returns the orders accepted so far.
func (e *fakeEngineClient) accepted() []engineapi.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]engineapi.Order(nil), e.orders...)
}

// startModule starts a kernel with the module and one engine endpoint, which checks fencing
// numbers if checksFencing is true.
func startModule(t *testing.T, leadership *fakeLeadership, engine *fakeEngineClient, checksFencing bool) {
	view := state.NewView(&pb.Configuration{
		Models:    []*pb.Model{{Name: "m", WeightsVersion: "v1"}},
		Endpoints: []*pb.Endpoint{{Name: "e", Address: "e:1", Models: []string{"m"}, Role: pb.EndpointRole_ENDPOINT_ROLE_ENGINE, ChecksFencing: checksFencing}},
	})
	k := kernel.New(zap.NewNop())
	k.Register("control.consensus", leadership)
	k.Register("control.state", &fixedState{view: view})
	m := NewModule(Settings{Interval: 500 * time.Millisecond, CallTimeout: time.Second, SuccessorWait: 10 * time.Second, MaxLoads: 2, RequestsPerEndpoint: 8, DrainTimeout: 30 * time.Second})
	m.client = engine
	k.Register(ModuleName, m, "control.consensus", "control.state")
	assert.NilError(t, k.Start(t.Context()))
	t.Cleanup(func() { assert.NilError(t, k.Stop(context.Background())) })
}

func TestOnlyLeaderSendsOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leadership, engine := &fakeLeadership{}, &fakeEngineClient{}
		startModule(t, leadership, engine, true)
		time.Sleep(time.Minute)
		assert.Equal(t, len(engine.accepted()), 0)
		leadership.set(4)
		time.Sleep(2 * time.Second)
		assert.Equal(t, engine.accepted()[0].Op, engineapi.OrderLoadModel)
		assert.Equal(t, engine.accepted()[0].Term, uint64(4))
	})
}

func TestNewLeaderWaitsIfEndpointChecksNoFencing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leadership, engine := &fakeLeadership{}, &fakeEngineClient{}
		startModule(t, leadership, engine, false)
		leadership.set(4)
		leadsSince := time.Now()
		time.Sleep(30 * time.Second)
		assert.Assert(t, len(engine.accepted()) > 0)
		engine.mu.Lock()
		defer engine.mu.Unlock()
		assert.Assert(t, engine.orderTimes[0].Sub(leadsSince) >= 10*time.Second)
	})
}

func TestSequenceContinuesAfterReadBackAndLaterTermWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leadership, engine := &fakeLeadership{}, &fakeEngineClient{last: engineapi.Order{Term: 4, Sequence: 70}}
		startModule(t, leadership, engine, true)
		leadership.set(4)
		time.Sleep(time.Second)
		assert.Equal(t, engine.accepted()[0].Sequence, uint64(71))
		engine.mu.Lock()
		engine.last = engineapi.Order{Term: 9, Sequence: 1}
		before := len(engine.orders)
		engine.mu.Unlock()
		leadership.set(5)
		time.Sleep(time.Minute)
		assert.Equal(t, len(engine.accepted()), before)
	})
}
