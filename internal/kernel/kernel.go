// Package kernel is the small core of every daemon: modules register under dotted
// names, find each other by name, and are provisioned, started and stopped in the
// order of their needs.
//
// Invariant: a module is started only after all it needs have started, and is
// stopped before any of them stops.
package kernel

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// Module is one service of a daemon.
type Module interface {
	// Provision looks up what the module needs and checks its settings. It does no
	// I/O towards other processes. A failure here stops the daemon before any start.
	Provision(k *Kernel) error
	// Start begins the work and returns; background work ends when Stop is called.
	Start(ctx context.Context) error
	// Stop ends the work gracefully within ctx.
	Stop(ctx context.Context) error
}

// Drainer is a module that refuses new work before anything is stopped.
type Drainer interface {
	// Drain refuses new work and waits for work in flight within ctx.
	Drain(ctx context.Context) error
}

// Checker is a module that reports its health.
type Checker interface {
	// Health returns nil when the module serves, or why it does not.
	Health() error
}

type unit struct {
	name   string
	needs  []string
	module Module
}

// Kernel holds the modules of one daemon.
type Kernel struct {
	Log     *zap.Logger
	mu      sync.Mutex
	units   map[string]*unit
	order   []*unit
	started []*unit
}

// New returns an empty kernel that logs to log.
func New(log *zap.Logger) *Kernel {
	return &Kernel{Log: log, units: map[string]*unit{}}
}

// Register adds a module under a dotted name such as "entry.http" with the names
// of the modules it needs. A name can be taken once; a second use panics, as it is
// a mistake in the daemon's own wiring.
func (k *Kernel) Register(name string, m Module, needs ...string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, taken := k.units[name]; taken {
		panic("kernel: module registered twice: " + name)
	}
	k.units[name] = &unit{name: name, needs: needs, module: m}
}

// Lookup finds the module registered under name as a T.
func Lookup[T any](k *Kernel, name string) (T, error) {
	k.mu.Lock()
	u := k.units[name]
	k.mu.Unlock()
	var zero T
	if u == nil {
		return zero, errors.Newf("no module named %q", name)
	}
	t, ok := u.module.(T)
	if !ok {
		return zero, errors.Newf("module %q is a %T and does not offer the wanted interface", name, u.module)
	}
	return t, nil
}

// Start provisions every module, then starts them in order. When one fails, those
// already started are stopped and the failure is returned.
func (k *Kernel) Start(ctx context.Context) error {
	order, err := k.sorted()
	if err != nil {
		return err
	}
	k.order = order
	for _, u := range order {
		if err := u.module.Provision(k); err != nil {
			return errors.Wrapf(err, "provision %s", u.name)
		}
	}
	for _, u := range order {
		if err := u.module.Start(ctx); err != nil {
			stopErr := k.Stop(ctx)
			return errors.CombineErrors(errors.Wrapf(err, "start %s", u.name), stopErr)
		}
		k.started = append(k.started, u)
		k.Log.Debug("module started", zap.String("module", u.name))
	}
	return nil
}

// Stop drains every started module, then stops them in reverse order.
func (k *Kernel) Stop(ctx context.Context) error {
	var all error
	for i := len(k.started) - 1; i >= 0; i-- {
		if d, ok := k.started[i].module.(Drainer); ok {
			all = errors.CombineErrors(all, errors.Wrapf(d.Drain(ctx), "drain %s", k.started[i].name))
		}
	}
	for i := len(k.started) - 1; i >= 0; i-- {
		all = errors.CombineErrors(all, errors.Wrapf(k.started[i].module.Stop(ctx), "stop %s", k.started[i].name))
	}
	k.started = nil
	return all
}

// Run starts the modules, waits for ctx to end, and stops them within grace.
func (k *Kernel) Run(ctx context.Context, grace time.Duration) error {
	if err := k.Start(ctx); err != nil {
		return err
	}
	k.Log.Info("serving")
	<-ctx.Done()
	k.Log.Info("stopping", zap.Duration("grace", grace))
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer cancel()
	return k.Stop(stopCtx)
}

// Health returns the modules that do not serve, by name.
func (k *Kernel) Health() map[string]error {
	bad := map[string]error{}
	for _, u := range k.order {
		c, ok := u.module.(Checker)
		if !ok {
			continue
		}
		if err := c.Health(); err != nil {
			bad[u.name] = err
		}
	}
	return bad
}

// sorted orders the units so that needs come first; ties go by name.
func (k *Kernel) sorted() ([]*unit, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	names := make([]string, 0, len(k.units))
	for n := range k.units {
		names = append(names, n)
	}
	sort.Strings(names)
	s := sorter{units: k.units, mark: map[string]int{}}
	for _, n := range names {
		if err := s.visit(n, ""); err != nil {
			return nil, err
		}
	}
	return s.order, nil
}

const (
	visiting = 1
	visited  = 2
)

type sorter struct {
	units map[string]*unit
	mark  map[string]int
	order []*unit
}

func (s *sorter) visit(name, by string) error {
	u := s.units[name]
	if u == nil {
		return errors.Newf("module %q needs %q, which is not registered", by, name)
	}
	switch s.mark[name] {
	case visited:
		return nil
	case visiting:
		return errors.Newf("modules need each other in a circle at %q", name)
	}
	s.mark[name] = visiting
	for _, n := range u.needs {
		if err := s.visit(n, name); err != nil {
			return err
		}
	}
	s.mark[name] = visited
	s.order = append(s.order, u)
	return nil
}
