package consensus

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"eelgrasshollow/internal/statemachine"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

const (
	// fullDiskRestart is the pause of a process between two starts of a replica that failed.
	fullDiskRestart = 300 * time.Millisecond
	// acknowledgeTime is the time within which a change must be accepted once no disk is full.
	acknowledgeTime = 4 * time.Second
)

var errNoSpace = errors.Wrap(syscall.ENOSPC, "write to the store")

// fullDiskStore is a Store on a disk that takes no writes while full is set.
type fullDiskStore struct {
	*Store
	full *atomic.Bool
}

func (s fullDiskStore) Save(h HardState, install *Snapshot, entries []Entry) error {
	if s.full.Load() {
		return errNoSpace
	}
	return s.Store.Save(h, install, entries)
}

func (s fullDiskStore) SaveSnapshot(snapshot Snapshot, dropTo uint64) error {
	if s.full.Load() {
		return errNoSpace
	}
	return s.Store.SaveSnapshot(snapshot, dropTo)
}

// diskGroup is a storedGroup whose replicas are restarted by their processes when they fail, as control VMs do.
type diskGroup struct {
	*storedGroup
	disks map[string]*atomic.Bool // full, by address
}

// run keeps a replica running until ctx ends.
func (g *diskGroup) run(ctx context.Context, m Member) {
	for ctx.Err() == nil {
		if err := g.runOnce(ctx, m); err != nil {
			time.Sleep(fullDiskRestart)
		}
	}
}

// runOnce runs a replica until it fails or ctx ends.
func (g *diskGroup) runOnce(ctx context.Context, m Member) error {
	full := g.disks[m.Address]
	if full.Load() {
		return errNoSpace // the start is recorded in the store
	}
	store, stored, err := OpenStore(g.storeDir(m.ID), m.ID, g.members)
	if err != nil {
		return err
	}
	store.db.NoSync = true // no test here ends the process
	machine, mux := &countingMachine{}, statemachine.NewMux()
	mux.Add(documentSpace, machine)
	failed := make(chan error, 1)
	r, err := NewReplica(Options{
		Core:    Config{ID: m.ID, ElectionTimeout: simElection, HeartbeatInterval: simHeartbeat, MaxAppendBytes: DefaultMaxAppendBytes, Random: rand.New(rand.NewPCG(m.ID, 3))},
		Storage: fullDiskStore{store, full}, Stored: stored, Transport: groupTransport{g.storedGroup}, Machine: mux, Logger: zap.NewNop(), EntriesPerSnapshot: 40, RetainedEntries: 10, Limits: testLimits,
		OnFatal: func(err error) {
			select {
			case failed <- err:
			default:
			}
		},
	})
	if err != nil {
		return errors.CombineErrors(err, store.Close())
	}
	g.mu.Lock()
	g.replicas[m.Address] = r
	g.mu.Unlock()
	r.Start()
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	g.mu.Lock()
	delete(g.replicas, m.Address)
	g.mu.Unlock()
	return errors.CombineErrors(err, r.Stop())
}

// countingMachine counts changes and keeps nothing else.
type countingMachine struct{ documentMachine }

func (m *countingMachine) Apply(uint64, []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.changes++
	return nil
}

// leading returns the address of the replica that leads, and the replica; "" if none does.
func (g *diskGroup) leading() (string, *Replica) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for address, r := range g.replicas {
		if _, leads := r.Leading(); leads {
			return address, r
		}
	}
	return "", nil
}

// tryChange proposes a change once.
func (g *diskGroup) tryChange(ctx context.Context) bool {
	_, r := g.leading()
	if r == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_, err := r.Propose(ctx, documentSpace, make([]byte, 2048))
	return err == nil
}

// The disks of replicas are full for some seconds, one after another, never two at once, while changes go on. Once the last has
// room again, changes must be accepted within the usual time, by all replicas (reported by operators of a similar system).
func TestChangesAreAcceptedAfterDisksWereFullInTurn(t *testing.T) {
	for _, size := range []uint64{3, 5} {
		for _, gap := range []time.Duration{0, 100 * time.Millisecond, 2 * time.Second} {
			for _, leaders := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d replicas, gap %v, leaders %v", size, gap, leaders), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						g := &diskGroup{newStoredGroup(t, size), map[string]*atomic.Bool{}}
						ctx, cancel := context.WithCancel(t.Context())
						var wg sync.WaitGroup
						for _, m := range g.members.Members {
							g.disks[m.Address] = &atomic.Bool{}
						}
						for _, m := range g.members.Members {
							wg.Go(func() { g.run(ctx, m) })
						}
						wg.Go(func() {
							for ctx.Err() == nil {
								g.tryChange(ctx)
								time.Sleep(20 * time.Millisecond)
							}
						})
						accepted := func(what string) {
							t.Helper()
							for end := time.Now().Add(acknowledgeTime); !g.tryChange(ctx); time.Sleep(20 * time.Millisecond) {
								assert.Assert(t, time.Now().Before(end), "no change is accepted within %v %s", acknowledgeTime, what)
							}
						}
						accepted("at the start")
						for turn := range 3 * len(g.members.Members) {
							address := g.members.Members[turn%len(g.members.Members)].Address
							if leaders {
								for end := time.Now().Add(acknowledgeTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
									if leading, _ := g.leading(); leading != "" {
										address = leading
										break
									}
								}
							}
							g.disks[address].Store(true)
							time.Sleep(3 * time.Second)
							g.disks[address].Store(false)
							time.Sleep(gap)
						}
						accepted("after the last disk had room")
						time.Sleep(acknowledgeTime)
						g.mu.Lock()
						assert.Equal(t, len(g.replicas), len(g.members.Members), "all replicas run")
						for address, r := range g.replicas {
							assert.Check(t, r.Health(), address)
						}
						g.mu.Unlock()
						cancel()
						wg.Wait()
					})
				})
			}
		}
	}
}
