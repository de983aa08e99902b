package watch

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// exchangeInterval is the time between exchanges of VM reports among control replicas.
	exchangeInterval = 200 * time.Millisecond
	// minExchangeInterval applies instead while VMs are adopting a new revision.
	minExchangeInterval = 20 * time.Millisecond
	// waitPollInterval is the time between checks by Wait.
	waitPollInterval = 20 * time.Millisecond
)

// Caller calls peers by address.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// InForce reports whether no VM can serve under a revision older than the given one.
// It also returns the names of the VMs that have not confirmed the revision, if known.
func (s *Server) InForce(revision uint64, now time.Time) (bool, []string) {
	if s.machine.Revision() < revision {
		return false, nil
	}
	status := s.replica.Status()
	var others []uint64
	for _, member := range status.Members.Members {
		if member.ID != status.ID {
			others = append(others, member.ID)
		}
	}
	names, complete := s.table.Lagging(revision, others, now)
	if complete && len(names) == 0 && !status.FreshAsOf.IsZero() && now.Sub(status.FreshAsOf) < s.freshness {
		return true, nil
	}
	return s.olderRevisionsExpired(revision, now), names
}

// Wait waits until a revision is in force on every serving VM and returns true. If ctx
// ends or the server is closed first, it returns false and the VMs that may lag.
func (s *Server) Wait(ctx context.Context, revision uint64) (bool, []string) {
	ticker := time.NewTicker(waitPollInterval)
	defer ticker.Stop()
	for {
		now := time.Now()
		s.recordRevision(now)
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

// Run records when revisions are applied and exchanges VM reports with the other replicas
// until Close.
func (s *Server) Run(caller Caller) {
	ticker := time.NewTicker(minExchangeInterval)
	defer ticker.Stop()
	var sent progress
	var sentAt time.Time
	for {
		changed := s.replica.Changed()
		s.recordRevision(time.Now())
		select {
		case <-s.ctx.Done():
			return
		case <-changed:
		case now := <-ticker.C:
			current := progress{s.machine.Revision(), s.table.RevisionUpdates()}
			if current != sent || now.Sub(sentAt) >= exchangeInterval {
				sent, sentAt = current, now
				s.exchange(caller)
			}
		}
	}
}

// progress identifies this replica's state of the rollout of revisions to the VMs: its
// own revision and the number of newer revisions that VMs reported.
type progress struct{ revision, reports uint64 }

// exchange sends the VM reports in this replica's table to the other replicas.
func (s *Server) exchange(caller Caller) {
	status := s.replica.Status()
	args := &ExchangeArgs{Replica: status.ID, Revision: s.machine.Revision(), Reports: s.table.Reports(time.Now())}
	for _, member := range status.Members.Members {
		if member.ID == status.ID {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(s.ctx, exchangeInterval)
			defer cancel()
			if err := caller.Call(ctx, member.Address, ExchangeServiceName+".Exchange", args, &ExchangeReply{}); err != nil {
				s.log.Debug("exchange with replica failed", zap.Uint64("replica", member.ID), zap.Error(err))
			}
		}()
	}
}

// ExchangeReceiver is the net/rpc receiver of the service "Session".
type ExchangeReceiver struct{ server *Server }

// NewExchangeReceiver returns the net/rpc receiver for s.
func NewExchangeReceiver(s *Server) *ExchangeReceiver { return &ExchangeReceiver{server: s} }

// Exchange records the reports and the revision that another replica sent.
func (r *ExchangeReceiver) Exchange(args *ExchangeArgs, _ *ExchangeReply) error {
	now := time.Now()
	for _, report := range args.Reports {
		r.server.table.RecordReport(report, now)
	}
	r.server.table.RecordReplica(args.Replica, args.Revision)
	return nil
}
