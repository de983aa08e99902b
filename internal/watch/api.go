// Package watch replicates the configuration from the control replicas to the entry
// VMs: entry VMs poll for newer revisions and learn how old their view can be at most.
package watch

import (
	"context"

	"eelgrasshollow/internal/state"
)

// Directory provides the configuration in force on this VM.
type Directory interface {
	// View returns the newest configuration received. Its revision never decreases. It
	// is nil until the first poll with a read barrier has been answered.
	View() *state.View
	// Fresh returns nil while the attested age of the view is below the freshness bound,
	// and an error of kind Stale (not run) otherwise.
	Fresh() error
	// Changed returns a channel that is closed when the view or its freshness next changes.
	Changed() <-chan struct{}
}

// VM describes an entry VM to clients.
type VM struct {
	Name, Address, PeerAddress, FailureDomain string
	// Weight is the VM's capacity relative to the other VMs, in processor cores; 0 if unknown.
	Weight  float64
	Leaving bool
	// Isolated is set while the VM reaches no endpoint and forwards its requests to other VMs.
	Isolated bool
}

// Fleet lists the entry VMs and announces that this one is leaving.
type Fleet interface {
	// VMs lists the entry VMs with a live session, as of the last reply from a control
	// replica. VMs that are leaving are included and marked.
	VMs() []VM
	// Leave announces that this VM is leaving. It may be called more than once.
	Leave(ctx context.Context) error
}
