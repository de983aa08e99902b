package consensus

import (
	"context"
	"sync"
	"time"

	"eelgrasshollow/internal/peer"
)

const (
	sendQueue   = 256
	sendTimeout = 500 * time.Millisecond
	// readTimeout bounds a read barrier's call to the leader.
	readTimeout = time.Second
)

// ServiceName is the name of the replicas' net/rpc service.
const ServiceName = "Consensus"

// Pool calls peers by address.
type Pool interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// PeerTransport sends over net/rpc, in order for each receiver, and drops
// messages when a receiver does not keep up.
type PeerTransport struct {
	pool   Pool
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	queues map[string]chan []Message
	wg     sync.WaitGroup
}

// NewPeerTransport returns a transport over pool.
func NewPeerTransport(pool Pool) *PeerTransport {
	ctx, cancel := context.WithCancel(context.Background())
	return &PeerTransport{pool: pool, ctx: ctx, cancel: cancel, queues: map[string]chan []Message{}}
}

// Send queues messages for the replica at address.
func (t *PeerTransport) Send(address string, msgs []Message) {
	t.mu.Lock()
	q := t.queues[address]
	if q == nil && t.ctx.Err() == nil {
		q = make(chan []Message, sendQueue)
		t.queues[address] = q
		t.wg.Go(func() { t.deliver(address, q) })
	}
	t.mu.Unlock()
	select {
	case q <- msgs:
	default:
	}
}

func (t *PeerTransport) deliver(address string, q chan []Message) {
	for {
		var batch []Message
		select {
		case <-t.ctx.Done():
			return
		case batch = <-q:
		}
		for len(q) > 0 {
			batch = append(batch, <-q...)
		}
		ctx, cancel := context.WithTimeout(t.ctx, sendTimeout)
		// A failure is a lost message, which the protocol bears.
		_ = t.pool.Call(ctx, address, ServiceName+".Deliver", &Batch{Messages: batch}, &peer.Ping{})
		cancel()
	}
}

// ReadIndex asks the replica at address for a read barrier's index.
func (t *PeerTransport) ReadIndex(ctx context.Context, address string) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var reply IndexReply
	err := t.pool.Call(ctx, address, ServiceName+".ReadIndex", &peer.Ping{}, &reply)
	return reply.Index, err
}

// Close ends the senders.
func (t *PeerTransport) Close() {
	t.cancel()
	t.wg.Wait()
}

// Batch carries messages in order.
type Batch struct{ Messages []Message }

// IndexReply answers a read barrier.
type IndexReply struct{ Index uint64 }

// Service is the net/rpc receiver of a replica.
type Service struct{ replica *Replica }

// NewService returns the receiver of r.
func NewService(r *Replica) *Service { return &Service{replica: r} }

// Deliver takes messages in.
func (s *Service) Deliver(b *Batch, _ *peer.Ping) error {
	s.replica.Deliver(b.Messages)
	return nil
}

// ReadIndex answers a follower's read barrier.
func (s *Service) ReadIndex(_ *peer.Ping, reply *IndexReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	index, err := s.replica.ReadIndex(ctx)
	reply.Index = index
	return peer.EncodeError(err)
}
