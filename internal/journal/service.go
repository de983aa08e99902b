package journal

import (
	"context"
	"sync"
	"time"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/peer"
	"eelgrasshollow/internal/statemachine"
)

// Bounds of the owner's service.
const (
	maxBatch       = 256 // ops in one entry of the log
	maxWaiting     = 4096
	proposeTimeout = 2 * time.Second
	batchesAtOnce  = 2 // proposals in flight: one is synced while the next is gathered
)

// pending is an op that waits for its batch.
type pending struct {
	op   op
	done chan reply // takes one reply without blocking
}

type reply struct {
	result result
	err    error
}

// Service batches ops into the log on the leader.
type Service struct {
	limits   Limits
	proposer statemachine.Proposer
	queue    chan *pending
	start    time.Time
	wg       sync.WaitGroup
	batch    int // ops in one entry of the log, at most
}

// NewService returns a service; Run makes it work.
func NewService(limits Limits, p statemachine.Proposer) *Service {
	return &Service{limits: limits, proposer: p, queue: make(chan *pending, maxWaiting), start: time.Now(), batch: maxBatch}
}

// clock is Unix milliseconds that don't follow steps of the wall clock after the start.
func (s *Service) clock() int64 {
	return s.start.UnixMilli() + time.Since(s.start).Milliseconds()
}

// Run gathers and proposes batches until ctx ends. While proposals are in flight,
// ops gather for the next one.
func (s *Service) Run(ctx context.Context) {
	defer s.wg.Wait()
	slots := make(chan struct{}, batchesAtOnce)
	for {
		var ops []*pending
		select {
		case <-ctx.Done():
			return
		case first := <-s.queue:
			ops = append(ops, first)
		}
		select {
		case <-ctx.Done():
			answerAll(ops, errkind.New(errkind.NotLeader, "journal is stopping"))
			return
		case slots <- struct{}{}:
		}
		ops = s.gather(ops)
		s.wg.Go(func() {
			defer func() { <-slots }()
			s.propose(ctx, ops)
		})
	}
}

// gather adds what waits already.
func (s *Service) gather(ops []*pending) []*pending {
	for len(ops) < s.batch {
		select {
		case p := <-s.queue:
			ops = append(ops, p)
		default:
			return ops
		}
	}
	return ops
}

func (s *Service) propose(ctx context.Context, ops []*pending) {
	b := batch{Now: s.clock(), Limits: s.limits, Ops: make([]op, len(ops))}
	for i, p := range ops {
		b.Ops[i] = p.op
	}
	data, err := encode(b)
	if err != nil {
		answerAll(ops, err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	committed, err := s.proposer.Propose(ctx, Namespace, data)
	if err != nil {
		answerAll(ops, err)
		return
	}
	var results []result
	if err := decode(committed.Data, &results); err != nil || len(results) != len(ops) {
		answerAll(ops, errkind.New(errkind.Internal, "journal gave no result"))
		return
	}
	for i, p := range ops {
		p.done <- reply{result: results[i]}
	}
}

func answerAll(ops []*pending, err error) {
	for _, p := range ops {
		p.done <- reply{err: err}
	}
}

// do carries out one op.
func (s *Service) do(o op) (result, error) {
	p := &pending{op: o, done: make(chan reply, 1)}
	select {
	case s.queue <- p:
	default:
		return result{}, errkind.New(errkind.Overloaded, "too many journal calls wait").WithRetryAfter(retryInProgress)
	}
	select {
	case r := <-p.done:
		return r.result, r.err
	case <-time.After(2 * proposeTimeout):
		return result{}, errkind.New(errkind.Timeout, "journal did not answer")
	}
}

// RPCService offers the journal over net/rpc.
type RPCService struct{ service *Service }

// DoArgs is a call's arguments.
type DoArgs struct {
	Op op
}

// DoReply is a call's answer.
type DoReply struct {
	Result result
}

// Do carries out one call.
func (e *RPCService) Do(c *DoArgs, out *DoReply) error {
	r, err := e.service.do(c.Op)
	if err != nil {
		return peer.EncodeError(err)
	}
	out.Result = r
	return nil
}
