// Package scenario runs the scripts in scenarios/ against the real binaries on loopback. See
// scenarios/README.md for their commands.
package scenario

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

var (
	binDir      string
	scenarioDir = flag.String("scenario-files", filepath.Join("..", "..", "scenarios"), "directory of the scenarios")
	workDir     = flag.String("scenario-dir", "", "keep the scenarios' logs and settings in this directory")
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(runWithBinaries(m))
}

// runWithBinaries builds the commands once for all scenarios, then runs the tests.
func runWithBinaries(m *testing.M) int {
	dir, err := os.MkdirTemp("", "eelgrass-scenario")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "eelgrasshollow/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the daemons: %v\n%s", err, out)
		return 1
	}
	binDir = dir
	return m.Run()
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 *scenarioDir,
		WorkdirRoot:         *workDir,
		Cmds:                testscriptCommands(),
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
	})
}
