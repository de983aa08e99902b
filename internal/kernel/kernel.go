// Package kernel runs the modules of a daemon. Modules are registered under dotted names, look
// each other up by name, and are provisioned, started and stopped in the order of their
// dependencies.
//
// Invariant: a module is started after all its dependencies and stopped before any of them.
package kernel

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// failedStartTimeout limits the stop of the modules that were started before one failed. Other VMs
// may already hold calls to them.
const failedStartTimeout = 500 * time.Millisecond

// Module is one service of a daemon.
type Module interface {
	// Provision looks up the module's dependencies and checks its settings. It does not
	// communicate with other processes. After an error no module is started.
	Provision(k *Kernel) error
	// Start starts the module and returns. Background work goes on until Stop is called.
	Start(ctx context.Context) error
	// Stop stops the module gracefully, within the deadline of ctx.
	Stop(ctx context.Context) error
}

// Drainer is a module that refuses new work before any module is stopped.
type Drainer interface {
	// Drain refuses new work and waits for work in flight, within the deadline of ctx.
	Drain(ctx context.Context) error
}

// Cleaner is a module that acquires files or other resources when it is provisioned.
type Cleaner interface {
	// Cleanup releases what Provision acquired. It is called once, in place of Stop, if the module
	// is not started because another one failed.
	Cleanup() error
}

// Checker is a module that reports its health.
type Checker interface {
	// Health returns nil if the module can serve, and otherwise the reason.
	Health() error
}

// unit is a registered module with its dependencies.
type unit struct {
	name         string
	dependencies []string
	module       Module
}

// Kernel holds the modules of one daemon.
type Kernel struct {
	Log     *zap.Logger
	mu      sync.Mutex // guards units
	units   map[string]*unit
	order   []*unit // dependencies first; set by Start
	started []*unit
}

// New returns an empty kernel that logs to log.
func New(log *zap.Logger) *Kernel {
	return &Kernel{Log: log, units: map[string]*unit{}}
}

// Register adds a module under a dotted name such as "entry.http", with the names of the
// modules that it depends on. It panics if the name is already registered, which is a
// programming error of the daemon.
func (k *Kernel) Register(name string, m Module, dependencies ...string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, exists := k.units[name]; exists {
		panic("kernel: module registered twice: " + name)
	}
	k.units[name] = &unit{name: name, dependencies: dependencies, module: m}
}

// Lookup returns the module registered under name as a T. It returns an error if there is no
// such module or it is not a T.
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
		return zero, errors.Newf("module %q is a %T and does not implement the requested interface", name, u.module)
	}
	return t, nil
}

// Start provisions all modules and then starts them, dependencies first. After an error the
// modules already started are stopped, the others that were provisioned are cleaned up, and the
// error is returned.
func (k *Kernel) Start(ctx context.Context) error {
	order, err := k.sorted()
	if err != nil {
		return err
	}
	k.order = order
	for i, u := range order {
		if err := u.module.Provision(k); err != nil {
			return errors.CombineErrors(errors.Wrapf(err, "provision %s", u.name), cleanup(order[:i]))
		}
	}
	for i, u := range order {
		if err := u.module.Start(ctx); err != nil {
			cleanupErr := cleanup(order[i+1:]) // before their dependencies are stopped
			stopCtx, cancel := context.WithTimeout(ctx, failedStartTimeout)
			defer cancel()
			return errors.CombineErrors(errors.Wrapf(err, "start %s", u.name), errors.CombineErrors(cleanupErr, k.Stop(stopCtx)))
		}
		k.started = append(k.started, u)
		k.Log.Debug("module started", zap.String("module", u.name))
	}
	return nil
}

// cleanup cleans up modules that were provisioned and not started, in reverse order.
func cleanup(units []*unit) error {
	var all error
	for _, u := range slices.Backward(units) {
		if c, ok := u.module.(Cleaner); ok {
			all = errors.CombineErrors(all, errors.Wrapf(c.Cleanup(), "clean up %s", u.name))
		}
	}
	return all
}

// Stop drains all started modules and then stops them, both in reverse order of their start.
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

// Run starts the modules, waits until ctx is done and stops them within grace.
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

// Health returns the errors of the modules that can't serve, by module name.
func (k *Kernel) Health() map[string]error {
	unhealthy := map[string]error{}
	for _, u := range k.order {
		c, ok := u.module.(Checker)
		if !ok {
			continue
		}
		if err := c.Health(); err != nil {
			unhealthy[u.name] = err
		}
	}
	return unhealthy
}

// sorted returns the units with dependencies first and otherwise in order of their names.
func (k *Kernel) sorted() ([]*unit, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	names := make([]string, 0, len(k.units))
	for name := range k.units {
		names = append(names, name)
	}
	sort.Strings(names)
	s := sorter{units: k.units, state: map[string]int{}}
	for _, name := range names {
		if err := s.visit(name, ""); err != nil {
			return nil, err
		}
	}
	return s.order, nil
}

// Values of sorter.state.
const (
	visiting = 1
	visited  = 2
)

// sorter sorts units topologically by a depth-first search.
type sorter struct {
	units map[string]*unit
	state map[string]int // by unit name; 0 if not yet visited
	order []*unit
}

// visit appends the named unit after its dependencies. dependent is the unit that depends on
// it, or "".
func (s *sorter) visit(name, dependent string) error {
	u := s.units[name]
	if u == nil {
		return errors.Newf("module %q needs %q, which is not registered", dependent, name)
	}
	switch s.state[name] {
	case visited:
		return nil
	case visiting:
		return errors.Newf("modules need each other in a circle at %q", name)
	}
	s.state[name] = visiting
	for _, dependency := range u.dependencies {
		if err := s.visit(dependency, name); err != nil {
			return err
		}
	}
	s.state[name] = visited
	s.order = append(s.order, u)
	return nil
}
