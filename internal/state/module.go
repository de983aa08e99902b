package state

import (
	"context"

	"eelgrasshollow/internal/kernel"
)

// ModuleName is the machine's name in the kernel.
const ModuleName = "control.state"

// consensusName is where Changed comes from.
const consensusName = "control.consensus"

// Module offers the replicated configuration to the modules of a control replica.
type Module struct {
	*Machine
	notify notifier
}

type notifier interface{ Changed() <-chan struct{} }

// NewModule returns a module around m.
func NewModule(m *Machine) *Module { return &Module{Machine: m} }

// Provision looks up agreement, which tells of changes.
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
