package routing

import (
	"math"
	"time"
)

// VersionSelector selects the weights version of a request while new weights are being
// rolled out. The Module implements it.
type VersionSelector interface {
	// SelectVersion returns the version to run: the target version, or the previous one
	// while endpoints still run it. Requests are split by key in proportion to the
	// endpoints of each version, so that a rolling update loses no capacity. Requests with
	// the same key get the same version.
	SelectVersion(model, target string, key uint64) string
}

// SelectVersion implements VersionSelector.
func (m *Module) SelectVersion(model, target string, key uint64) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.refresh(now) // the previous version comes from the previous view
	return m.core.SelectVersion(now, model, target, key)
}

// SetTargetVersions sets the target version of every model and records the one it
// replaces.
func (c *Core) SetTargetVersions(targets map[string]string) {
	for model, version := range targets {
		if previous := c.targetVersions[model]; previous != "" && previous != version {
			c.previousVersions[model] = previous
		}
	}
	c.targetVersions = targets
}

// previousVersion returns the target version before the current one. On a VM that started
// after the change, it is another version in a recent load report. It returns "" if there
// is none.
func (c *Core) previousVersion(now time.Time, model, target string) string {
	if version := c.previousVersions[model]; version != "" && version != target {
		return version
	}
	for _, s := range c.byModel[model] {
		if version := s.LoadReport.Versions[model]; version != "" && version != target && s.hasRecentReport(now) {
			return version
		}
	}
	return ""
}

// SelectVersion selects the version as VersionSelector describes, by the current state of
// the endpoints.
func (c *Core) SelectVersion(now time.Time, model, target string, key uint64) string {
	previous := c.previousVersion(now, model, target)
	if previous == "" {
		return target
	}
	onTarget, onPrevious := 0, 0
	for _, s := range c.byModel[model] {
		if s.Leaving || now.Before(s.downUntil) || s.draining() {
			continue
		}
		switch {
		case s.confirmedServing(model, target, now):
			onTarget++
		case s.confirmedServing(model, previous, now) || !s.hasRecentReport(now) && !s.hasRecentPeerWeights(now):
			onPrevious++ // an endpoint without a report is assumed to run the previous version
		}
	}
	if onPrevious == 0 {
		return target
	}
	if float64(key) < math.MaxUint64*float64(onTarget)/float64(onTarget+onPrevious) {
		return target
	}
	return previous
}
