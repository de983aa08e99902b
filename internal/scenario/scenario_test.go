// Package scenario runs the files in scenarios/: real binaries on loopback, and a few
// commands with which a file reads like a runbook. See scenarios/README.md.
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
	binaries string
	scripts  = flag.String("scenario-files", filepath.Join("..", "..", "scenarios"), "directory of the scenarios")
	keepDir  = flag.String("scenario-dir", "", "keep the scenarios' logs and settings in this directory")
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(withBinaries(m))
}

// withBinaries builds the daemons once for all scenarios.
func withBinaries(m *testing.M) int {
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
	binaries = dir
	return m.Run()
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 *scripts,
		WorkdirRoot:         *keepDir,
		Cmds:                commands(),
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
	})
}
