package eelctl

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a report of one client account's KV cache used for another that can't be followed from the accounts to
// the cache namespace, and from there to the requests.
func TestExplainLeadsFromAccountsToNamespaceAndRequests(t *testing.T) {
	log := filepath.Join(t.TempDir(), "log")
	assert.NilError(t, os.WriteFile(log, []byte(
		`{"ts":"2026-06-15T08:00:02.000Z","msg":"request served","vm":"vm-2","request":"b1","server":"s1","sends":1,"client_account":"b","cache_namespace":"77aa","weights":"m/1","prefix":"p","cached_tokens":900,"outcome":"completed","took":5}
{"ts":"2026-06-15T08:00:01.000Z","msg":"request served","vm":"vm-1","request":"a1","server":"s1","sends":1,"client_account":"a","cache_namespace":"77aa","weights":"m/1","prefix":"p","cached_tokens":0,"outcome":"completed","took":5}
{"ts":"2026-06-15T08:00:03.000Z","msg":"request served","vm":"vm-1","request":"a2","server":"s1","sends":1,"client_account":"a","cache_namespace":"once-1","outcome":"completed","took":5}
{"ts":"2026-06-15T08:00:03.000Z","msg":"request served","vm":"vm-1","request":"a3","server":"s1","sends":1,"client_account":"a","cache_namespace":"","outcome":"completed","took":5}
`), 0o600))
	run := func(args ...string) string {
		var out, errOut bytes.Buffer
		assert.Equal(t, Main(t.Context(), append([]string{"explain"}, append(args, log)...), &out, &errOut), 0, errOut.String())
		return out.String()
	}
	assert.Equal(t, run("--namespaces"), "77aa; requests in the logs: a 1, b 1\n")
	assert.Equal(t, run("--namespace", "77aa"), `2026-06-15T08:00:01.000Z  a1  vm-1  account="a" server="s1" weights="m/1" prefix="p" cached_tokens=0 completed
2026-06-15T08:00:02.000Z  b1  vm-2  account="b" server="s1" weights="m/1" prefix="p" cached_tokens=900 completed
`)
	assert.Equal(t, run("--namespace", ""), "2026-06-15T08:00:03.000Z  a3  vm-1  account=\"a\" server=\"s1\" weights=\"\" prefix=\"\" cached_tokens=0 completed\n")
	var out, errOut bytes.Buffer
	assert.Assert(t, Main(t.Context(), []string{"explain", "--namespaces", "--failed", log}, &out, &errOut) != 0)
}
