package peer

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"eelgrasshollow/internal/connguard"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// waitService counts its calls, which wait until release is closed.
type waitService struct {
	mu      sync.Mutex
	calls   int
	release chan struct{}
}

func (s *waitService) Wait(_ []byte, _ *Ping) error {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	<-s.release
	return nil
}

func (s *waitService) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// pipeListener accepts in-memory connections.
type pipeListener chan net.Conn

func (p pipeListener) Accept() (net.Conn, error) {
	if c, ok := <-p; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}
func (p pipeListener) Close() error   { close(p); return nil }
func (p pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// guardedServer returns a server whose connections a guard bounds, and a pool that calls it.
func guardedServer(t *testing.T, service any) (*connguard.Guard, *Pool) {
	return boundedServer(t, service, connguard.Bounds{Connections: 10, Bytes: 64 << 20, MessageBytes: 1 << 20})
}

// boundedServer is guardedServer with other bounds.
func boundedServer(t *testing.T, service any, bounds connguard.Bounds) (*connguard.Guard, *Pool) {
	guard := connguard.New(bounds, zap.NewNop())
	server := NewServer(zap.NewNop(), DefaultLivenessTimeout)
	assert.NilError(t, server.Register("Test", service))
	listener := make(pipeListener)
	go func() { _ = server.Serve(guard.Messages(listener, "peers"), nil) }()
	pool := NewPool(Options{Dial: func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		listener <- far
		return near, nil
	}})
	t.Cleanup(func() {
		pool.Close()
		assert.NilError(t, listener.Close())
		server.Close()
	})
	return guard, pool
}

// Guards against calls without end that one connection begins, against arguments that are not counted while their call runs, and
// against memory that is not given back.
func TestCallsOfAConnectionAreBounded(t *testing.T) {
	const argument, excess, pause = 1000, 10, 100 * time.Millisecond
	service := &waitService{release: make(chan struct{})}
	guard, pool := guardedServer(t, service)
	var calls sync.WaitGroup
	for range maxCallsPerConnection + excess {
		calls.Go(func() {
			assert.Check(t, pool.Call(t.Context(), "a", "Test.Wait", make([]byte, argument), &Ping{}) == nil)
		})
	}
	awaitCondition(t, func() bool { return service.count() >= maxCallsPerConnection })
	time.Sleep(pause)
	assert.Equal(t, service.count(), maxCallsPerConnection)
	assert.Assert(t, guard.Held() > maxCallsPerConnection*argument)
	close(service.release)
	calls.Wait()
	assert.Equal(t, service.count(), maxCallsPerConnection+excess)
	const connection = 64 << 10 // more than a connection with its type definitions holds
	awaitCondition(t, func() bool { return guard.Held() < connection })
}

// Guards against calls of peers that hold more than there is room for, so that other connections are closed for them or refused, and
// against calls that are never served for lack of room.
func TestCallsWaitForRoom(t *testing.T) {
	const bytes, calls, pause = 128 << 10, 100, 100 * time.Millisecond
	service := &waitService{release: make(chan struct{})}
	guard, pool := boundedServer(t, service, connguard.Bounds{Connections: 10, Bytes: bytes, MessageBytes: 1 << 20})
	var running sync.WaitGroup
	for range calls {
		running.Go(func() { assert.Check(t, pool.Call(t.Context(), "a", "Test.Wait", []byte{1}, &Ping{}) == nil) })
	}
	awaitCondition(t, func() bool { return service.count() > 0 })
	time.Sleep(pause)
	held, begun := guard.Held(), service.count()
	close(service.release) // also if the checks fail
	running.Wait()
	assert.Assert(t, held <= bytes && begun < calls, "%d bytes held by %d calls", held, begun)
	assert.Equal(t, service.count(), calls)
}

// awaitCondition polls until the condition holds.
func awaitCondition(t *testing.T, condition func() bool) {
	t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("the condition does not hold")
}

// Guards against a message over the limit that is read, and against a connection that stays unusable for the next call.
func TestMessageOverTheLimitEndsItsConnection(t *testing.T) {
	service := &waitService{release: make(chan struct{})}
	close(service.release)
	_, pool := guardedServer(t, service)
	assert.Assert(t, pool.Call(t.Context(), "a", "Test.Wait", make([]byte, 2<<20), &Ping{}) != nil)
	awaitCondition(t, func() bool {
		return pool.Call(t.Context(), "a", "Test.Wait", make([]byte, 1000), &Ping{}) == nil
	})
	assert.Equal(t, service.count(), 1)
}
