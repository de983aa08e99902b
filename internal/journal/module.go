package journal

import (
	"context"
	"sync"
	"time"

	"eelgrasshollow/internal/kernel"
	"eelgrasshollow/internal/peer"
	"eelgrasshollow/internal/settings"
	"eelgrasshollow/internal/statemachine"

	"github.com/cockroachdb/errors"
)

// ClientSettings is the section [journal] of an entry VM.
type ClientSettings struct {
	BeginLease time.Duration `ini:"begin_lease" default:"5s" min:"100ms" doc:"from the sending of a claim to the first byte; not above the control VMs' value"`
}

// OwnerSettings is the section [journal] of a control VM; all replicas use the same.
type OwnerSettings struct {
	Retention  time.Duration  `ini:"retention" default:"24h" min:"1m" doc:"how long a settled request's answer is kept"`
	BeginLease time.Duration  `ini:"begin_lease" default:"5s" min:"100ms" doc:"from the sending of a claim to the first byte, on any entry VM at most"`
	RunTime    time.Duration  `ini:"run_time" default:"1m" min:"1s" doc:"a call that is not settled by then counts as outcome unknown"`
	Records    int            `ini:"max_records" default:"1000000" min:"1" doc:"records and expired request IDs; a full journal refuses"`
	Bytes      settings.Bytes `ini:"max_answers" default:"256 MiB" doc:"stored answers together"`
	AnswerSize settings.Bytes `ini:"max_answer" default:"64 KiB" doc:"one stored answer; a larger one is not kept"`
}

func (s OwnerSettings) limits() Limits {
	return Limits{
		Retention: s.Retention, BeginLease: s.BeginLease, RunTime: s.RunTime,
		Records: s.Records, Bytes: int64(s.Bytes), AnswerSize: int64(s.AnswerSize),
	}
}

// ClientModule is entry.journal.
type ClientModule struct {
	cfg    ClientSettings
	client *Client
}

// NewClientModule returns the Journal of an entry VM.
func NewClientModule(cfg ClientSettings) *ClientModule { return &ClientModule{cfg: cfg} }

// Provision implements kernel.Module.
func (m *ClientModule) Provision(k *kernel.Kernel) error {
	p, err := kernel.Lookup[interface{ Leader() peer.Caller }](k, "peer.pool")
	if err != nil {
		return err
	}
	m.client = NewClient(m.cfg.BeginLease, p.Leader(), k.Log.Named("journal"))
	return nil
}

// Start implements kernel.Module.
func (m *ClientModule) Start(context.Context) error { return nil }

// Stop waits for settlements.
func (m *ClientModule) Stop(ctx context.Context) error { return m.client.Wait(ctx) }

// Claim implements Journal.
func (m *ClientModule) Claim(ctx context.Context, r Request) (Claim, *Answer, error) {
	return m.client.Claim(ctx, r)
}

// OwnerName is the owner's module in the kernel.
const OwnerName = "control.journal"

// OwnerModule is control.journal.
type OwnerModule struct {
	cfg     OwnerSettings
	machine *Machine
	service *Service
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// NewOwnerModule returns the journal's service on a control VM; machine is the one in
// the replica's log.
func NewOwnerModule(cfg OwnerSettings, machine *Machine) *OwnerModule {
	return &OwnerModule{cfg: cfg, machine: machine}
}

// Stats counts what the journal holds on this replica.
func (m *OwnerModule) Stats() Stats { return m.machine.Stats() }

// Provision implements kernel.Module.
func (m *OwnerModule) Provision(k *kernel.Kernel) error {
	if m.cfg.AnswerSize > m.cfg.Bytes {
		return errors.New("max_answer must not be above max_answers")
	}
	proposer, err := kernel.Lookup[statemachine.Proposer](k, "control.consensus")
	if err != nil {
		return err
	}
	s, err := kernel.Lookup[interface{ Register(string, any) error }](k, "peer.server")
	if err != nil {
		return err
	}
	m.service = NewService(m.cfg.limits(), proposer)
	return s.Register("Journal", &Endpoint{m.service})
}

// Start implements kernel.Module.
func (m *OwnerModule) Start(ctx context.Context) error {
	ctx, m.cancel = context.WithCancel(context.WithoutCancel(ctx))
	m.wg.Go(func() { m.service.Run(ctx) })
	return nil
}

// Stop implements kernel.Module.
func (m *OwnerModule) Stop(context.Context) error {
	if m.cancel != nil {
		m.cancel()
		m.wg.Wait()
	}
	return nil
}
