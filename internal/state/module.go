package state

import (
	"context"

	"eelgrasshollow/internal/kernel"
)

// ModuleName is the machine's name in the kernel.
const ModuleName = "control.state"

// consensusName is the name of the consensus module, which implements notifier.
const consensusName = "control.consensus"

// Module provides the replicated configuration to the modules of a control replica.
type Module struct {
	*Machine
	notify notifier
}

// notifier signals that commands were applied.
type notifier interface{ Changed() <-chan struct{} }

// NewModule returns a module that provides m.
func NewModule(m *Machine) *Module { return &Module{Machine: m} }

// Provision looks up the consensus module, which signals changes.
func (m *Module) Provision(k *kernel.Kernel) error {
	n, err := kernel.Lookup[notifier](k, consensusName)
	m.notify = n
	return err
}

// Start does nothing.
func (m *Module) Start(context.Context) error { return nil }

// Stop does nothing.
func (m *Module) Stop(context.Context) error { return nil }

// Changed returns a channel that is closed when the configuration may have changed.
func (m *Module) Changed() <-chan struct{} { return m.notify.Changed() }
