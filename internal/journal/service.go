package journal

import (
	"context"
	"sync"
	"time"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/peer"
	"eelgrasshollow/internal/statemachine"
)

// Bounds of a Service's queue and batches.
const (
	maxBatchOps          = 256 // ops in one log entry
	maxQueuedOps         = 4096
	proposeTimeout       = 2 * time.Second
	maxConcurrentBatches = 2 // one batch is synced to disk while the next one is gathered
)

// pendingOp is an op that waits for its result.
type pendingOp struct {
	op   op
	done chan reply // buffered, for one reply
}

// reply is the result of an op, or the error that left it without one.
type reply struct {
	result result
	err    error
}

// Service proposes ops to the replicated log in batches. Only the leader can commit them.
type Service struct {
	limits     Limits
	proposer   statemachine.Proposer
	queue      chan *pendingOp
	startedAt  time.Time
	proposals  sync.WaitGroup // in flight
	batchLimit int            // maximum number of ops in one log entry
}

// NewService returns a service that queues ops until Run is called.
func NewService(limits Limits, p statemachine.Proposer) *Service {
	return &Service{limits: limits, proposer: p, queue: make(chan *pendingOp, maxQueuedOps), startedAt: time.Now(), batchLimit: maxBatchOps}
}

// clock returns the time in Unix milliseconds. Steps of the wall clock after the start have no
// effect on it.
func (s *Service) clock() int64 {
	return s.startedAt.UnixMilli() + time.Since(s.startedAt).Milliseconds()
}

// Run proposes queued ops in batches until ctx ends. While maxConcurrentBatches proposals
// are in flight, further ops wait for the next batch.
func (s *Service) Run(ctx context.Context) {
	defer s.proposals.Wait()
	slots := make(chan struct{}, maxConcurrentBatches)
	for {
		var ops []*pendingOp
		select {
		case <-ctx.Done():
			return
		case first := <-s.queue:
			ops = append(ops, first)
		}
		select {
		case <-ctx.Done():
			failAll(ops, errkind.New(errkind.NotLeader, "journal is stopping"))
			return
		case slots <- struct{}{}:
		}
		ops = s.gather(ops)
		s.proposals.Go(func() {
			defer func() { <-slots }()
			s.propose(ctx, ops)
		})
	}
}

// gather adds the ops that are queued already, up to the batch limit.
func (s *Service) gather(ops []*pendingOp) []*pendingOp {
	for len(ops) < s.batchLimit {
		select {
		case p := <-s.queue:
			ops = append(ops, p)
		default:
			return ops
		}
	}
	return ops
}

// propose commits the ops as one batch and delivers their results.
func (s *Service) propose(ctx context.Context, ops []*pendingOp) {
	b := batch{Now: s.clock(), Limits: s.limits, Ops: make([]op, len(ops))}
	for i, p := range ops {
		b.Ops[i] = p.op
	}
	data, err := encode(b)
	if err != nil {
		failAll(ops, err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	committed, err := s.proposer.Propose(ctx, Namespace, data)
	if err != nil {
		failAll(ops, err)
		return
	}
	var results []result
	if err := decode(committed.Data, &results); err != nil || len(results) != len(ops) {
		failAll(ops, errkind.New(errkind.Internal, "journal returned no results for the batch"))
		return
	}
	for i, p := range ops {
		p.done <- reply{result: results[i]}
	}
}

// failAll delivers err as the reply to all ops.
func failAll(ops []*pendingOp, err error) {
	for _, p := range ops {
		p.done <- reply{err: err}
	}
}

// do queues an op and waits for its result.
func (s *Service) do(o op) (result, error) {
	p := &pendingOp{op: o, done: make(chan reply, 1)}
	select {
	case s.queue <- p:
	default:
		return result{}, errkind.New(errkind.Overloaded, "too many journal calls are waiting").WithRetryAfter(retryAfterInProgress)
	}
	select {
	case r := <-p.done:
		return r.result, r.err
	case <-time.After(2 * proposeTimeout):
		return result{}, errkind.New(errkind.Timeout, "journal did not respond in time")
	}
}

// RPCService serves the journal over net/rpc under the name Journal.
type RPCService struct{ service *Service }

// DoArgs is the argument of Journal.Do.
type DoArgs struct {
	Op op
}

// DoReply is the reply of Journal.Do.
type DoReply struct {
	Result result
}

// Do executes one op.
func (s *RPCService) Do(args *DoArgs, reply *DoReply) error {
	res, err := s.service.do(args.Op)
	if err != nil {
		return peer.EncodeError(err)
	}
	reply.Result = res
	return nil
}
