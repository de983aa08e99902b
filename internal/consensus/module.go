package consensus

import (
	"context"
	"math/rand/v2"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"eelgrasshollow/internal/clock"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/kernel"
	"eelgrasshollow/internal/peer"
	"eelgrasshollow/internal/statemachine"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// ModuleName is the module's name in the kernel.
const ModuleName = "control.consensus"

// ModuleConfig configures a Module.
type ModuleConfig struct {
	ReplicaID          uint64
	InitialMembership  Membership // empty for a replica that joins an existing group
	DataDir            string
	ElectionTimeout    time.Duration
	HeartbeatInterval  time.Duration
	TickInterval       time.Duration // 0 means DefaultTickInterval
	EntriesPerSnapshot uint64
	RetainedEntries    uint64
	Limits             Limits // zero means LimitsFor(0)
	MaxBatch           int
	Machine            *statemachine.Mux
	Logger             *zap.Logger
	OnFatal            func(error)
	Now                clock.Clock // see Options.Now
}

// Module is the kernel module that runs a Replica.
type Module struct {
	*Replica
	cfg ModuleConfig
}

// NewModule returns a module; Provision creates its Replica.
func NewModule(cfg ModuleConfig) *Module { return &Module{cfg: cfg} }

// Provision opens the store and registers the net/rpc receiver.
func (m *Module) Provision(k *kernel.Kernel) error {
	var (
		server *peer.ServerModule
		pool   *peer.PoolModule
	)
	if err := k.Find(kernel.As(peer.ServerName, &server), kernel.As(peer.PoolName, &pool)); err != nil {
		return err
	}
	store, stored, err := OpenStore(StoreDir(m.cfg.DataDir, m.cfg.ReplicaID), m.cfg.ReplicaID, m.cfg.InitialMembership)
	if err != nil {
		return err
	}
	if m.cfg.Limits == (Limits{}) {
		m.cfg.Limits = LimitsFor(0)
	}
	transport := NewPeerTransport(pool)
	transport.maxBytes = m.cfg.Limits.Sent
	m.Replica, err = NewReplica(Options{
		Core: Config{ID: m.cfg.ReplicaID, ElectionTimeout: m.cfg.ElectionTimeout, HeartbeatInterval: m.cfg.HeartbeatInterval,
			MaxAppendBytes: DefaultMaxAppendBytes, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))},
		Storage: store, Stored: stored, Transport: transport, Limits: m.cfg.Limits, Machine: m.cfg.Machine, Logger: m.cfg.Logger,
		EntriesPerSnapshot: m.cfg.EntriesPerSnapshot, RetainedEntries: m.cfg.RetainedEntries, MaxBatch: m.cfg.MaxBatch, OnFatal: m.cfg.OnFatal, Now: m.cfg.Now, TickInterval: m.cfg.TickInterval,
	})
	if err != nil {
		return errors.CombineErrors(err, store.Close())
	}
	if err := server.Register(ServiceName, NewService(m.Replica)); err != nil {
		return errors.CombineErrors(err, m.Replica.Stop())
	}
	return nil
}

// Cleanup implements kernel.Cleaner: an open store would be locked for the next replica of this
// process.
func (m *Module) Cleanup() error { return m.Replica.Stop() }

// Start starts the replica.
func (m *Module) Start(context.Context) error {
	m.Replica.Start()
	return nil
}

// Stop stops the replica. Leadership has already been transferred by Drain.
func (m *Module) Stop(context.Context) error { return m.Replica.Stop() }

// storeDirPrefix is the name of a replica's store directory without the replica ID at
// its end.
const storeDirPrefix = "replica-"

// StoreDir returns the directory of a replica's store below the data directory.
func StoreDir(dataDir string, replica uint64) string {
	return filepath.Join(dataDir, storeDirPrefix+strconv.FormatUint(replica, 10))
}

// FindStore returns the ID of the replica whose store is in the data directory, or 0 if
// there is none.
func FindStore(dataDir string) (uint64, error) {
	found, err := filepath.Glob(filepath.Join(dataDir, storeDirPrefix+"*", storeFileName))
	if err != nil {
		return 0, errors.Wrap(err, "find store")
	}
	for _, path := range found {
		number := strings.TrimPrefix(filepath.Base(filepath.Dir(path)), storeDirPrefix)
		if id, err := strconv.ParseUint(number, 10, 64); err == nil && id != 0 {
			return id, nil
		}
	}
	return 0, nil
}

// ParseMembers parses replicas in the form NUMBER=ADDRESS, such as "1=127.0.0.1:7101".
func ParseMembers(texts []string) (Membership, error) {
	var membership Membership
	for _, text := range texts {
		number, address, ok := strings.Cut(text, "=")
		id, err := strconv.ParseUint(strings.TrimSpace(number), 10, 64)
		if !ok || err != nil || id == 0 || strings.TrimSpace(address) == "" {
			return membership, errkind.New(errkind.InvalidRequest, "%q does not have the form NUMBER=ADDRESS", text)
		}
		if _, duplicate := membership.Find(id); duplicate {
			return membership, errkind.New(errkind.InvalidRequest, "replica %d is listed twice", id)
		}
		membership = membership.withMember(Member{ID: id, Address: strings.TrimSpace(address)})
	}
	return membership, nil
}
