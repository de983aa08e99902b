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

type idle struct{}

func (idle) Provision(*kernel.Kernel) error { return nil }
func (idle) Start(context.Context) error    { return nil }
func (idle) Stop(context.Context) error     { return nil }

type fixedState struct {
	idle
	view *state.View
}

func (s *fixedState) View() *state.View { return s.view }

type lead struct {
	idle
	mu   sync.Mutex
	term uint64
}

func (l *lead) set(term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.term = term
}

func (l *lead) Leading() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term, l.term > 0
}

func (l *lead) Leader() string { return "" }

// oneEngine is an engine that obeys at once and checks no numbers.
type oneEngine struct {
	mu     sync.Mutex
	last   engineapi.Order
	orders []engineapi.Order
	times  []time.Time
	loaded map[string]string
}

func (e *oneEngine) Load(context.Context, string) (engineapi.Load, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return engineapi.Load{Role: "any", Versions: e.loaded}, nil
}

func (e *oneEngine) LastOrder(context.Context, string) (engineapi.Order, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.last, nil
}

func (e *oneEngine) Order(_ context.Context, _ string, o engineapi.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.last = o
	e.orders, e.times = append(e.orders, o), append(e.times, time.Now())
	return nil
}

// given returns the orders so far.
func (e *oneEngine) given() []engineapi.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]engineapi.Order(nil), e.orders...)
}

func startModule(t *testing.T, l *lead, e *oneEngine, checks bool) {
	view := state.NewView(&pb.Configuration{
		Models:    []*pb.Model{{Name: "m", WeightsVersion: "v1"}},
		Endpoints: []*pb.Endpoint{{Name: "e", Address: "e:1", Models: []string{"m"}, Role: pb.EndpointRole_ENDPOINT_ROLE_ENGINE, ChecksFencing: checks}},
	})
	k := kernel.New(zap.NewNop())
	k.Register("control.consensus", l)
	k.Register("control.state", &fixedState{view: view})
	m := NewModule(Settings{Interval: 500 * time.Millisecond, CallTimeout: time.Second, SuccessorWait: 10 * time.Second, MaxLoads: 2, RequestsPerEndpoint: 8, DrainTimeout: 30 * time.Second})
	m.client = e
	k.Register(ModuleName, m, "control.consensus", "control.state")
	assert.NilError(t, k.Start(t.Context()))
	t.Cleanup(func() { assert.NilError(t, k.Stop(context.Background())) })
}

func TestOnlyTheLeaderSends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, e := &lead{}, &oneEngine{}
		startModule(t, l, e, true)
		time.Sleep(time.Minute)
		assert.Equal(t, len(e.given()), 0)
		l.set(4)
		time.Sleep(2 * time.Second)
		assert.Equal(t, e.given()[0].Op, engineapi.OrderLoadModel)
		assert.Equal(t, e.given()[0].Term, uint64(4))
	})
}

func TestSuccessorWaitsWhereNumbersAreNotChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, e := &lead{}, &oneEngine{}
		startModule(t, l, e, false)
		l.set(4)
		began := time.Now()
		time.Sleep(30 * time.Second)
		assert.Assert(t, len(e.given()) > 0)
		e.mu.Lock()
		defer e.mu.Unlock()
		assert.Assert(t, e.times[0].Sub(began) >= 10*time.Second)
	})
}

func TestNumbersGoOnAfterAReadBackAndALaterSenderWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, e := &lead{}, &oneEngine{last: engineapi.Order{Term: 4, Sequence: 70}}
		startModule(t, l, e, true)
		l.set(4)
		time.Sleep(time.Second)
		assert.Equal(t, e.given()[0].Sequence, uint64(71))
		e.mu.Lock()
		e.last = engineapi.Order{Term: 9, Sequence: 1}
		given := len(e.orders)
		e.mu.Unlock()
		l.set(5)
		time.Sleep(time.Minute)
		assert.Equal(t, len(e.given()), given)
	})
}
