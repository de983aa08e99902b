package journal

import (
	"context"
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

// ClientModule is the module entry.journal.
type ClientModule struct {
	cfg    ClientSettings
	client *Client
}

// NewClientModule returns the module that implements Journal on an entry VM.
func NewClientModule(cfg ClientSettings) *ClientModule { return &ClientModule{cfg: cfg} }

// Provision implements kernel.Module.
func (m *ClientModule) Provision(k *kernel.Kernel) error {
	pool, err := kernel.Lookup[interface{ Leader() peer.Caller }](k, "peer.pool")
	if err != nil {
		return err
	}
	m.client = NewClient(m.cfg.BeginLease, pool.Leader(), k.Log.Named("journal"))
	return nil
}

// Start implements kernel.Module.
func (m *ClientModule) Start(context.Context) error { return nil }

// Stop waits for settlements in the background.
func (m *ClientModule) Stop(ctx context.Context) error { return m.client.Wait(ctx) }

// Claim implements Journal.
func (m *ClientModule) Claim(ctx context.Context, r Request) (Claim, *Answer, error) {
	return m.client.Claim(ctx, r)
}

// OwnerName is the kernel name of OwnerModule.
const OwnerName = "control.journal"

// OwnerModule is the module control.journal.
type OwnerModule struct {
	cfg     OwnerSettings
	machine *Machine
	service *Service
	kernel.Background
}

// NewOwnerModule returns the module that serves the journal on a control VM. machine is the
// state machine that the replica's log is applied to.
func NewOwnerModule(cfg OwnerSettings, machine *Machine) *OwnerModule {
	return &OwnerModule{cfg: cfg, machine: machine}
}

// Stats returns the counts of this replica's journal.
func (m *OwnerModule) Stats() Stats { return m.machine.Stats() }

// Provision implements kernel.Module.
func (m *OwnerModule) Provision(k *kernel.Kernel) error {
	if m.cfg.AnswerSize > m.cfg.Bytes {
		return errors.New("max_answer must not be above max_answers")
	}
	var (
		proposer statemachine.Proposer
		server   interface{ Register(string, any) error }
	)
	if err := k.Find(kernel.As("control.consensus", &proposer), kernel.As("peer.server", &server)); err != nil {
		return err
	}
	m.service = NewService(m.cfg.limits(), proposer)
	m.Run = m.service.Run
	return server.Register("Journal", &RPCService{m.service})
}
