package scenario

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPromisesNameTheScenarios checks that each row of docs/PROMISES.md names existing scenarios, and
// that each scenario is named in one of its rows.
func TestPromisesNameTheScenarios(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "PROMISES.md"))
	assert.NilError(t, err)
	files, err := filepath.Glob(filepath.Join("..", "..", "scenarios", "*.txtar"))
	assert.NilError(t, err)
	exists, referenced := map[string]bool{}, map[string]bool{}
	for _, f := range files {
		exists[strings.TrimSuffix(filepath.Base(f), ".txtar")] = true
	}
	for line := range strings.SplitSeq(string(page), "\n") {
		cells := strings.Split(line, "|")
		column := scenarioColumn(cells)
		if column == 0 {
			continue
		}
		found := quotedName.FindAllStringSubmatch(cells[column], -1)
		assert.Assert(t, len(found) > 0, "no scenario in: %s", line)
		for _, m := range found {
			assert.Assert(t, exists[m[1]], "no scenario %q", m[1])
			referenced[m[1]] = true
		}
	}
	for name := range exists {
		assert.Assert(t, referenced[name], "no promise names the scenario %q", name)
	}
}

var quotedName = regexp.MustCompile("`([a-z0-9-]+)`")

// scenarioColumn returns the index of the column with the scenarios in a row of either table, or 0 if
// the line is not such a row.
func scenarioColumn(cells []string) int {
	const promiseRow, failureRow = 8, 4 // number of cells of a split row, including the empty outer ones
	switch {
	case len(cells) == promiseRow && !isHeader(cells[1]):
		return 5
	case len(cells) == failureRow && !isHeader(cells[1]):
		return 2
	}
	return 0
}

// isHeader reports whether the first cell is that of a header or separator row.
func isHeader(cell string) bool {
	cell = strings.TrimSpace(cell)
	return cell == "promise" || cell == "what fails" || strings.HasPrefix(cell, "---")
}
