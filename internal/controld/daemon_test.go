package controld

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"eelgrasshollow/internal/eelctl"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/settings"

	"gotest.tools/v3/assert"
)

// operator runs eelctl against a daemon.
type operator struct {
	t       *testing.T
	servers string
	token   string
}

// run runs eelctl and returns its exit code and standard output.
func (o operator) run(args ...string) (int, string) {
	o.t.Helper()
	var out, errOut bytes.Buffer
	code := eelctl.Main(context.Background(), append([]string{"--server", o.servers, "--token-file", o.token}, args...), &out, &errOut)
	o.t.Log(args, code, errOut.String())
	return code, out.String()
}

// mustRun runs eelctl, checks that it succeeds and returns its standard output.
func (o operator) mustRun(args ...string) string {
	o.t.Helper()
	code, out := o.run(args...)
	assert.Equal(o.t, code, 0)
	return out
}

// TestOperatorWorkflow runs the commands of eelctl against a complete daemon.
func TestOperatorWorkflow(t *testing.T) {
	g := newGroup(t, 1, "")
	const unreachable = "http://127.0.0.1:1" // nothing listens there
	o := operator{t, unreachable + ",http://" + g.operatorAddress(0), filepath.Join(g.dir, "operators")}
	g.leader()
	o.mustRun("account", "create", "litoral", "--rate", "10", "--burst", "20", "--operation-id", "one")
	assert.Assert(t, strings.Contains(o.mustRun("account", "create", "litoral", "--rate", "10", "--burst", "20", "--operation-id", "one"), "before"))
	code, _ := o.run("account", "create", "other", "--operation-id", "one")
	assert.Equal(t, code, errkind.OperationMismatch.Properties().Exit)
	code, _ = o.run("account", "update", "litoral", "--expected-revision", "9")
	assert.Equal(t, code, errkind.RevisionConflict.Properties().Exit)
	code, _ = o.run("account", "show", "nobody")
	assert.Equal(t, code, errkind.NotFound.Properties().Exit)
	o.mustRun("account", "create", "dry", "--dry-run")

	var first, second struct{ ID, Token, Revision string }
	assert.NilError(t, json.Unmarshal([]byte(o.mustRun("key", "issue", "litoral", "-o", "json", "--operation-id", "key")), &first))
	assert.NilError(t, json.Unmarshal([]byte(o.mustRun("key", "issue", "litoral", "-o", "json", "--operation-id", "key")), &second))
	assert.Equal(t, first, second)
	o.mustRun("key", "withdraw", first.ID)
	o.mustRun("wait", "3")

	file := filepath.Join(g.dir, "reviewed.json")
	assert.NilError(t, os.WriteFile(file, []byte(`{"models":[{"name":"m"}],"routes":[{"name":"r","kind":"ROUTE_KIND_MODEL","model":"m"}]}`), 0o600))
	assert.Equal(t, strings.Count(o.mustRun("diff", file), "+ "), 2)
	o.mustRun("apply", file)
	assert.Equal(t, o.mustRun("diff", file), "")

	image := filepath.Join(g.dir, "image")
	o.mustRun("backup", image)
	o.mustRun("route", "delete", "r")
	o.mustRun("restore", image)
	assert.Assert(t, strings.Contains(o.mustRun("route", "show", "r"), "revision 6"))
	assert.Equal(t, strings.Count(o.mustRun("history"), "\n"), 6)

	bad := o
	bad.token = filepath.Join(g.dir, "key")
	code, _ = bad.run("get")
	assert.Equal(t, code, errkind.Unauthenticated.Properties().Exit)
}

func TestInvalidSettingsAreReported(t *testing.T) {
	var s Settings
	err := settings.Parse("x.ini", []byte("[node]\nname=a\ndata_dir=d\npeer_address=p\noperator_address=o\n[control]\nreplica_id=4\nreplicas=1=a,2=b\nheartbeat=900ms\n[security]\nhash_key_file=h\noperator_tokens_file=t\n"), &s)
	assert.ErrorContains(t, err, "heartbeat: must be at most a third")
	assert.ErrorContains(t, err, "replicas: does not name this replica")
}
