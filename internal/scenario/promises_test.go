package scenario

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Every promise names scenarios that exist, and every scenario proves a promise.
func TestPromisesNameTheScenarios(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "PROMISES.md"))
	assert.NilError(t, err)
	files, err := filepath.Glob(filepath.Join("..", "..", "scenarios", "*.txtar"))
	assert.NilError(t, err)
	exists, named := map[string]bool{}, map[string]bool{}
	for _, f := range files {
		exists[strings.TrimSuffix(filepath.Base(f), ".txtar")] = true
	}
	for line := range strings.SplitSeq(string(page), "\n") {
		cells := strings.Split(line, "|")
		column := scenarioColumn(cells)
		if column == 0 {
			continue
		}
		found := quoted.FindAllStringSubmatch(cells[column], -1)
		assert.Assert(t, len(found) > 0, "no scenario in: %s", line)
		for _, m := range found {
			assert.Assert(t, exists[m[1]], "no scenario %q", m[1])
			named[m[1]] = true
		}
	}
	for name := range exists {
		assert.Assert(t, named[name], "no promise names the scenario %q", name)
	}
}

var quoted = regexp.MustCompile("`([a-z0-9-]+)`")

// scenarioColumn is the column of scenarios in a row of either table, 0 elsewhere.
func scenarioColumn(cells []string) int {
	const promiseRow, failureRow = 8, 4 // cells of a split row, outer ones included
	switch {
	case len(cells) == promiseRow && !header(cells[1]):
		return 5
	case len(cells) == failureRow && !header(cells[1]):
		return 2
	}
	return 0
}

func header(cell string) bool {
	cell = strings.TrimSpace(cell)
	return cell == "promise" || cell == "what fails" || strings.HasPrefix(cell, "---")
}
