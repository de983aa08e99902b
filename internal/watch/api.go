// Package watch brings the replicated configuration to the entry VMs by revision,
// with an attested age.
package watch

import (
	"context"

	"eelgrasshollow/internal/state"
)

// Directory is the configuration in force on this VM.
type Directory interface {
	// View returns the newest configuration; its revision never goes back. It is
	// nil until the first snapshot behind a read barrier has arrived.
	View() *state.View
	// Fresh returns nil while the view is attested to be younger than the freshness
	// bound, and errkind Stale (not run) otherwise.
	Fresh() error
	// Changed returns a channel that is closed at the next change of view or freshness.
	Changed() <-chan struct{}
}

// VM is an entry VM as callers may be told of it.
type VM struct {
	Name, Address, PeerAddress, FailureDomain string
	Leaving                                   bool
}

// Fleet is what is known of the entry VMs.
type Fleet interface {
	// VMs lists the entry VMs with a live session, as of the last answer of a control
	// replica; leaving ones are marked.
	VMs() []VM
	// Leave announces this VM as leaving; it may be called again.
	Leave(ctx context.Context) error
}
