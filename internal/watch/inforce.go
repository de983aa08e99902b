package watch

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// exchangeEvery is how often control replicas tell each other of the VMs.
	exchangeEvery = 200 * time.Millisecond
	// exchangeSoon is how often at most, while a change is on its way to the VMs.
	exchangeSoon = 20 * time.Millisecond
	// waitPoll is how often Wait looks at the table.
	waitPoll = 20 * time.Millisecond
)

// Caller calls peers by address.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// InForce reports whether no VM serves under a revision older than this one, and
// the VMs that may.
func (s *Server) InForce(revision uint64, now time.Time) (bool, []string) {
	if s.machine.Revision() < revision {
		return false, nil
	}
	p := s.replica.Status()
	var others []uint64
	for _, x := range p.Members.Members {
		if x.ID != p.ID {
			others = append(others, x.ID)
		}
	}
	names, complete := s.table.Lagging(revision, others, now)
	if complete && len(names) == 0 && !p.FreshAsOf.IsZero() && now.Sub(p.FreshAsOf) < s.freshness {
		return true, nil
	}
	return s.agedOut(revision, now), names
}

// Wait returns once a revision is in force on every VM that serves, or when ctx
// ends with the VMs that may lag.
func (s *Server) Wait(ctx context.Context, revision uint64) (bool, []string) {
	ticker := time.NewTicker(waitPoll)
	defer ticker.Stop()
	for {
		now := time.Now()
		s.markRevision(now)
		ok, names := s.InForce(revision, now)
		if ok {
			return true, nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false, names
		case <-s.ctx.Done():
			return false, names
		}
	}
}

// Run dates revisions and exchanges VM reports with the other replicas until Close.
func (s *Server) Run(calls Caller) {
	ticker := time.NewTicker(exchangeSoon)
	defer ticker.Stop()
	var told progress
	var last time.Time
	for {
		changed := s.replica.Changed()
		s.markRevision(time.Now())
		select {
		case <-s.ctx.Done():
			return
		case <-changed:
		case now := <-ticker.C:
			p := progress{s.machine.Revision(), s.table.Progress()}
			if p != told || now.Sub(last) >= exchangeEvery {
				told, last = p, now
				s.exchange(calls)
			}
		}
	}
}

// progress of a change on its way to the VMs, as this replica sees it.
type progress struct{ revision, reports uint64 }

// exchange tells the other replicas what this one knows of the VMs.
func (s *Server) exchange(calls Caller) {
	p := s.replica.Status()
	args := &ExchangeArgs{Replica: p.ID, Revision: s.machine.Revision(), Reports: s.table.Reports(time.Now())}
	for _, x := range p.Members.Members {
		if x.ID == p.ID {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(s.ctx, exchangeEvery)
			defer cancel()
			if err := calls.Call(ctx, x.Address, ExchangeServiceName+".Exchange", args, &ExchangeReply{}); err != nil {
				s.log.Debug("exchange with replica failed", zap.Uint64("replica", x.ID), zap.Error(err))
			}
		}()
	}
}

// ExchangeReceiver is the net/rpc receiver of the service "Session".
type ExchangeReceiver struct{ server *Server }

// NewExchangeReceiver returns the receiver of s.
func NewExchangeReceiver(s *Server) *ExchangeReceiver { return &ExchangeReceiver{server: s} }

// Exchange takes another replica's reports in.
func (x *ExchangeReceiver) Exchange(args *ExchangeArgs, _ *ExchangeReply) error {
	now := time.Now()
	for _, r := range args.Reports {
		x.server.table.Hear(r, now)
	}
	x.server.table.HearReplica(args.Replica, args.Revision)
	return nil
}
