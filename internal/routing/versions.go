package routing

import (
	"math"
	"time"
)

// VersionSelector tells which weights version a request should run on while new weights
// are being rolled out. The Module implements it.
type VersionSelector interface {
	// SelectVersion returns the version to run: wanted, or the one before it while endpoints
	// still run that. Requests are split by key in proportion to the endpoints, so that
	// a rolling change loses no capacity; siblings with one key stay together.
	SelectVersion(model, wanted string, key uint64) string
}

// SelectVersion implements VersionSelector.
func (m *Module) SelectVersion(model, wanted string, key uint64) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.refresh(now) // the version before is known from the view before
	return m.core.SelectVersion(now, model, wanted, key)
}

// SetTargetVersions tells the wanted version of every model; the one wanted before is
// remembered.
func (c *Core) SetTargetVersions(wanted map[string]string) {
	for model, version := range wanted {
		if old := c.wanted[model]; old != "" && old != version {
			c.previous[model] = old
		}
	}
	c.wanted = wanted
}

// before is the version that was wanted before, or for a VM that has started since
// another one that a report names; "" when there is none.
func (c *Core) before(now time.Time, model, wanted string) string {
	if v := c.previous[model]; v != "" && v != wanted {
		return v
	}
	for _, s := range c.byModel[model] {
		if v := s.LoadReport.Versions[model]; v != "" && v != wanted && s.reported(now) {
			return v
		}
	}
	return ""
}

// SelectVersion implements VersionSelector over what is known of the endpoints.
func (c *Core) SelectVersion(now time.Time, model, wanted string, key uint64) string {
	before := c.before(now, model, wanted)
	if before == "" {
		return wanted
	}
	newer, older := 0, 0
	for _, s := range c.byModel[model] {
		if s.Leaving || now.Before(s.downUntil) || s.draining() {
			continue
		}
		switch {
		case s.confirmed(model, wanted, now):
			newer++
		case s.confirmed(model, before, now) || !s.reported(now) && !s.hearsay(now):
			older++ // what is not known yet has not changed yet
		}
	}
	if older == 0 {
		return wanted
	}
	if float64(key) < math.MaxUint64*float64(newer)/float64(newer+older) {
		return wanted
	}
	return before
}
