package routing

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/kernel"
	"eelgrasshollow/internal/state"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

type fixedDirectory struct{ view *state.View }

func (d *fixedDirectory) View() *state.View            { return d.view }
func (d *fixedDirectory) Fresh() error                 { return nil }
func (d *fixedDirectory) Changed() <-chan struct{}     { return nil }
func (*fixedDirectory) Provision(*kernel.Kernel) error { return nil }
func (*fixedDirectory) Start(context.Context) error    { return nil }
func (*fixedDirectory) Stop(context.Context) error     { return nil }

func startModule(t *testing.T, endpoints ...*pb.Endpoint) *Module {
	k := kernel.New(zap.NewNop())
	k.Register("entry.directory", &fixedDirectory{state.NewView(&pb.Configuration{Revision: 1, Endpoints: endpoints})})
	m := NewModule(Settings{QueuePerEndpoint: 8, LongestWait: time.Second, TrackedPrefixes: 1000, RetryShare: 0.1}, nil, nil, time.Now)
	k.Register(ModuleName, m, "entry.directory")
	assert.NilError(t, k.Start(t.Context()))
	t.Cleanup(func() { assert.NilError(t, k.Stop(context.Background())) })
	return m
}

func TestPickWaitsForSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startModule(t, &pb.Endpoint{Name: "e", Address: "x:1", FailureDomain: "fd-1", Models: []string{"m"}, Role: pb.EndpointRole_ENDPOINT_ROLE_ENGINE, MaxConcurrent: 1})
		first, err := m.Pick(t.Context(), request("a"))
		assert.NilError(t, err)
		assert.Equal(t, first.Decision().FailureDomain, "fd-1")
		go func() {
			time.Sleep(300 * time.Millisecond)
			first.Done(Result{Incarnation: "i"})
		}()
		began := time.Now()
		second, err := m.Pick(t.Context(), request("a"))
		assert.NilError(t, err)
		assert.Equal(t, time.Since(began), 300*time.Millisecond)
		began = time.Now()
		_, err = m.Pick(t.Context(), request("a"))
		assert.Equal(t, errkind.Of(err).Kind, errkind.Overloaded)
		assert.Equal(t, errkind.Of(err).Outcome, errkind.NotRun)
		assert.Assert(t, time.Since(began) <= time.Second+2*tickInterval)
		second.Done(Result{Incarnation: "i"})
	})
}

func TestCanceledRequestLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startModule(t, &pb.Endpoint{Name: "e", Service: "s", Role: pb.EndpointRole_ENDPOINT_ROLE_PLAIN, MaxConcurrent: 1})
		first, err := m.Pick(t.Context(), Request{Service: "s"})
		assert.NilError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err = m.Pick(ctx, Request{Service: "s"})
		assert.Equal(t, errkind.Of(err).Kind, errkind.Canceled)
		assert.Equal(t, errkind.Of(err).Outcome, errkind.NotRun)
		first.Done(Result{})
		_, err = m.Pick(t.Context(), Request{Service: "s"})
		assert.NilError(t, err)
	})
}
