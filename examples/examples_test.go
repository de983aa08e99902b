// Package examples holds settings files of two deployments. The test loads them with the
// loaders of the daemons.
package examples

import (
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"eelgrasshollow/internal/controld"
	"eelgrasshollow/internal/entryd"
	"eelgrasshollow/internal/load"
	"eelgrasshollow/internal/settings"
)

var deployments = []string{"litoral", "tatrametal"}

func TestSettings(t *testing.T) {
	for _, d := range deployments {
		assert.NilError(t, settings.Load(filepath.Join(d, "control.ini"), &controld.Settings{}))
		assert.NilError(t, settings.Load(filepath.Join(d, "entry.ini"), &entryd.Settings{}))
		var s load.Settings
		assert.NilError(t, settings.Load(filepath.Join(d, "load.ini"), &s))
		accounts, err := load.LoadAccounts(filepath.Join(d, s.Target.AccountsFile))
		assert.NilError(t, err)
		assert.Equal(t, len(accounts), 5)
	}
}
