package consensus

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"eelgrasshollow/internal/peer"
)

const (
	sendQueueLength = 256
	sendTimeout     = 500 * time.Millisecond
	// readIndexTimeout limits a ReadIndex call to the leader.
	readIndexTimeout = time.Second
)

// ServiceName is the name of the net/rpc service of a replica.
const ServiceName = "Consensus"

// Pool calls peers by address.
type Pool interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// PeerTransport is a Transport over net/rpc. It sends the messages for one receiver in
// order and drops messages while the receiver's queue is full or holds Limits.Sent.
type PeerTransport struct {
	pool     Pool
	maxBytes int64
	ctx      context.Context
	cancel   context.CancelFunc

	mu     sync.Mutex
	queues map[string]*sendQueue
	wg     sync.WaitGroup
}

// sendQueue holds the messages for one receiver. bytes is the data in them, until their call
// has ended.
type sendQueue struct {
	batches chan []Message
	bytes   atomic.Int64
}

// NewPeerTransport returns a transport that calls peers through pool, with the limit for a
// process without a memory limit.
func NewPeerTransport(pool Pool) *PeerTransport {
	ctx, cancel := context.WithCancel(context.Background())
	return &PeerTransport{pool: pool, ctx: ctx, cancel: cancel, queues: map[string]*sendQueue{}, maxBytes: LimitsFor(0).Sent}
}

// Send queues messages for the replica at address.
func (t *PeerTransport) Send(address string, messages []Message) {
	t.mu.Lock()
	queue := t.queues[address]
	if queue == nil && t.ctx.Err() == nil {
		queue = &sendQueue{batches: make(chan []Message, sendQueueLength)}
		t.queues[address] = queue
		t.wg.Go(func() { t.sendLoop(address, queue) })
	}
	t.mu.Unlock()
	if queue == nil {
		return // closed
	}
	size := dataBytes(messages)
	if held := queue.bytes.Add(size); size > 0 && held > t.maxBytes && held > size {
		queue.bytes.Add(-size)
		return
	}
	select {
	case queue.batches <- messages:
	default:
		queue.bytes.Add(-size)
	}
}

func dataBytes(messages []Message) int64 {
	var size int64
	for _, m := range messages {
		size += m.dataBytes()
	}
	return size
}

func (t *PeerTransport) sendLoop(address string, queue *sendQueue) {
	for {
		var batch []Message
		select {
		case <-t.ctx.Done():
			return
		case batch = <-queue.batches:
		}
		for len(queue.batches) > 0 {
			batch = append(batch, <-queue.batches...)
		}
		ctx, cancel := context.WithTimeout(t.ctx, sendTimeout)
		// A failed call loses messages, which the protocol tolerates.
		_ = t.pool.Call(ctx, address, ServiceName+".Deliver", &Batch{Messages: batch}, &peer.Ping{})
		cancel()
		queue.bytes.Add(-dataBytes(batch))
	}
}

// ReadIndex returns the read index of the leader at address.
func (t *PeerTransport) ReadIndex(ctx context.Context, address string) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, readIndexTimeout)
	defer cancel()
	var reply IndexReply
	err := t.pool.Call(ctx, address, ServiceName+".ReadIndex", &peer.Ping{}, &reply)
	return reply.Index, err
}

// Close stops the goroutines that send.
func (t *PeerTransport) Close() {
	t.cancel()
	t.wg.Wait()
}

// Batch is the argument of Deliver: messages in sending order.
type Batch struct{ Messages []Message }

// IndexReply is the reply of Service.ReadIndex.
type IndexReply struct{ Index uint64 }

// Service is the net/rpc receiver for a replica.
type Service struct{ replica *Replica }

// NewService returns the net/rpc receiver for r.
func NewService(r *Replica) *Service { return &Service{replica: r} }

// Deliver passes messages to the replica.
func (s *Service) Deliver(batch *Batch, _ *peer.Ping) error {
	s.replica.Deliver(batch.Messages)
	return nil
}

// ReadIndex returns the leader's read index to a follower.
func (s *Service) ReadIndex(_ *peer.Ping, reply *IndexReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), readIndexTimeout)
	defer cancel()
	index, err := s.replica.ReadIndex(ctx)
	reply.Index = index
	return peer.EncodeError(err)
}
