// Package watch brings the replicated configuration to the entry VMs by revision,
// with an attested age.
package watch

import "eelgrasshollow/internal/state"

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
