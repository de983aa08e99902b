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

// ModuleName is the replica's name in the kernel.
const ModuleName = "control.consensus"

// ModuleConfig of a Module.
type ModuleConfig struct {
	ReplicaID          uint64
	InitialMembership  Membership // empty for a replica that is added later
	DataDir            string
	ElectionTimeout    time.Duration
	HeartbeatInterval  time.Duration
	TickInterval       time.Duration // 0 takes DefaultTickInterval
	EntriesPerSnapshot uint64
	RetainedEntries    uint64
	MaxBatch           int
	Machine            *statemachine.Mux
	Logger             *zap.Logger
	OnFatal            func(error)
	Now                clock.Clock // see Options.Now
}

// Module is the kernel's wrapper around a Replica.
type Module struct {
	*Replica
	cfg ModuleConfig
}

// NewModule returns a module that is opened when provisioned.
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
	m.Replica, err = NewReplica(Options{
		Core: Config{ID: m.cfg.ReplicaID, ElectionTimeout: m.cfg.ElectionTimeout, HeartbeatInterval: m.cfg.HeartbeatInterval,
			MaxAppendBytes: DefaultMaxAppendBytes, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))},
		Storage: store, Stored: stored, Transport: NewPeerTransport(pool), Machine: m.cfg.Machine, Logger: m.cfg.Logger,
		EntriesPerSnapshot: m.cfg.EntriesPerSnapshot, RetainedEntries: m.cfg.RetainedEntries, MaxBatch: m.cfg.MaxBatch, OnFatal: m.cfg.OnFatal, Now: m.cfg.Now, TickInterval: m.cfg.TickInterval,
	})
	if err != nil {
		return errors.CombineErrors(err, store.Close())
	}
	return server.Register(ServiceName, NewService(m.Replica))
}

// Start begins to take part.
func (m *Module) Start(context.Context) error {
	m.Replica.Start()
	return nil
}

// Stop ends the work; Drain has handed leadership over.
func (m *Module) Stop(context.Context) error { return m.Replica.Stop() }

// storePrefix begins the name of a replica's folder, which its number ends.
const storePrefix = "replica-"

// StoreDir is the folder of a replica's store below the data folder.
func StoreDir(dataDir string, replica uint64) string {
	return filepath.Join(dataDir, storePrefix+strconv.FormatUint(replica, 10))
}

// FindStore returns the number of the replica whose store the data folder holds, or 0
// when it holds none.
func FindStore(dataDir string) (uint64, error) {
	found, err := filepath.Glob(filepath.Join(dataDir, storePrefix+"*", storeFile))
	if err != nil {
		return 0, errors.Wrap(err, "look for a store")
	}
	for _, path := range found {
		number := strings.TrimPrefix(filepath.Base(filepath.Dir(path)), storePrefix)
		if id, err := strconv.ParseUint(number, 10, 64); err == nil && id != 0 {
			return id, nil
		}
	}
	return 0, nil
}

// ParseMembers reads replicas written as "1=127.0.0.1:7101".
func ParseMembers(list []string) (Membership, error) {
	var m Membership
	for _, text := range list {
		number, address, ok := strings.Cut(text, "=")
		id, err := strconv.ParseUint(strings.TrimSpace(number), 10, 64)
		if !ok || err != nil || id == 0 || strings.TrimSpace(address) == "" {
			return m, errkind.New(errkind.InvalidRequest, "%q is not written as NUMBER=ADDRESS", text)
		}
		if _, twice := m.Find(id); twice {
			return m, errkind.New(errkind.InvalidRequest, "replica %d is named twice", id)
		}
		m = m.with(Member{ID: id, Address: strings.TrimSpace(address)})
	}
	return m, nil
}
