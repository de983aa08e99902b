package explain

import (
	"strings"
	"testing"

	"eelgrasshollow/internal/errkind"

	"gotest.tools/v3/assert"
)

// collectedLog holds the lines of three VMs as a collector prints them. The clock of vm-2 is
// 2 s ahead.
const collectedLog = `built in 3 s
   0.0000 core-1 {"level":"info","ts":"2026-06-15T08:00:00.000Z","msg":"owning grants","vm":"core-1","term":3,"accounts":2}
   0.1000 core-1 {"level":"info","ts":"2026-06-15T08:00:00.100Z","msg":"consensus role changed","vm":"core-1","role":"leader","leader":677549946674331471}
   0.2000 vm-1 {"level":"info","ts":"2026-06-15T08:00:00.200Z","msg":"servers known","vm":"vm-1","servers":7}
   0.2000 vm-2 {"level":"info","ts":"2026-06-15T08:00:02.200Z","msg":"servers known","vm":"vm-2","servers":9}
   0.3000 vm-1 {"level":"warn","ts":"2026-06-15T08:00:00.300Z","msg":"control lost","vm":"vm-1","age":2100}
   1.0000 vm-2 {"level":"info","ts":"2026-06-15T08:00:03.000Z","msg":"start","vm":"vm-2"}
   1.1000 vm-2 {"level":"info","ts":"2026-06-15T08:00:03.100Z","msg":"request served","vm":"vm-2","request":"before","server":"s1","prefix":"p","weights":"m/1","outcome":"completed","took":10}
   1.2000 core-1 {"level":"info","ts":"2026-06-15T08:00:01.200Z","msg":"weights ordered","vm":"core-1","server":"s2","version":2}
   1.2500 core-1 {"level":"info","ts":"2026-06-15T08:00:01.250Z","msg":"weights ordered","vm":"core-1","server":"s1","version":2}
   1.5000 vm-1 {"level":"warn","ts":"2026-06-15T08:00:01.500Z","msg":"request failed","vm":"vm-1","request":"neighbour","server":"s1","prefix":"q","outcome":"outcome-unknown","kind":"endpoint-failed","took":30}
   1.6000 vm-2 {"level":"warn","ts":"2026-06-15T08:00:03.600Z","msg":"request failed","vm":"vm-2","request":"lost","server":"s1","prefix":"p","weights":"m/1","outcome":"outcome-unknown","kind":"endpoint-failed","error":"endpoint-failed: EOF","took":200}
   1.7000 vm-1 {"level":"warn","ts":"2026-06-15T08:00:01.700Z","msg":"request failed","vm":"vm-1","request":"old-view","server":"","outcome":"not-run","kind":"stale","took":0}
   1.8000 vm-1 {"level":"info","ts":"2026-06-15T08:00:01.800Z","msg":"request served","vm":"vm-1","request":"fine","server":"s2","outcome":"completed","took":5}
   9.0000 core-1 {"level":"info","ts":"2026-06-15T08:00:09.000Z","msg":"owning grants","vm":"core-1","term":4,"accounts":2}
`

// readLines parses text, which must be a readable log.
func readLines(t *testing.T, text string) []Line {
	lines, _, err := Read(strings.NewReader(text))
	assert.NilError(t, err)
	return lines
}

func TestReadSkipsUnstructuredLines(t *testing.T) {
	lines, skipped, err := Read(strings.NewReader(collectedLog + "{\"cut\":\n{}\n\n"))
	assert.NilError(t, err)
	assert.Equal(t, len(lines), 14)
	assert.Equal(t, skipped, 3)
	_, _, err = Read(strings.NewReader(strings.Repeat("x", maxLineBytes+1)))
	assert.ErrorContains(t, err, "read log")
}

func TestExplain(t *testing.T) {
	for _, c := range []struct {
		id                string
		state             []string
		warnings, related int
		server            string // "" for none
		ended, failed     int
		outcome, cause    string
	}{
		{
			id: "lost", related: 1, server: "s1", ended: 2, failed: 1, outcome: "outcome-unknown", cause: "the server's answer failed",
			state: []string{"core-1 owning grants", "core-1 consensus role changed", "vm-2 start", "core-1 weights ordered s1"},
		},
		{
			id: "old-view", warnings: 1, outcome: "not-run", cause: "view was too old",
			state: []string{"core-1 owning grants", "core-1 consensus role changed", "vm-1 servers known", "vm-1 control lost"},
		},
		{
			id: "fine", warnings: 1, server: "s2", outcome: "completed", cause: "it was answered",
			state: []string{"core-1 owning grants", "core-1 consensus role changed", "vm-1 servers known", "vm-1 control lost", "core-1 weights ordered s2"},
		},
	} {
		t.Run(c.id, func(t *testing.T) {
			s, err := Explain(readLines(t, collectedLog), c.id)
			assert.NilError(t, err)
			var state []string
			for _, e := range s.ProcessState {
				state = append(state, strings.TrimSpace(e.VM+" "+e.Message+" "+e.Text("server")))
			}
			assert.DeepEqual(t, state, c.state)
			assert.Equal(t, len(s.PrecedingWarnings), c.warnings)
			assert.Equal(t, len(s.RelatedRequests), c.related)
			assert.Equal(t, s.Server != nil, c.server != "")
			if s.Server != nil {
				assert.Equal(t, *s.Server, ServerActivity{Server: c.server, Ended: c.ended, Failed: c.failed})
			}
			assert.Equal(t, s.Verdict.Outcome, c.outcome)
			assert.Assert(t, strings.Contains(s.Verdict.Reason, c.cause), s.Verdict.Reason)
		})
	}
}

// Logs of earlier versions have the messages "agreement" and "server looked at" in place of
// the present ones. Explain must recognize them as well.
func TestFormerMessagesAreExplained(t *testing.T) {
	weightsChecked := `   1.3000 core-1 {"level":"info","ts":"2026-06-15T08:00:01.300Z","msg":"server weights checked","vm":"core-1","server":"s1"}` + "\n"
	former := strings.NewReplacer("consensus role changed", "agreement", "server weights checked", "server looked at").Replace(collectedLog + weightsChecked)
	s, err := Explain(readLines(t, former), "lost")
	assert.NilError(t, err)
	var state []string
	for _, e := range s.ProcessState {
		state = append(state, strings.TrimSpace(e.VM+" "+e.Message+" "+e.Text("server")))
	}
	assert.DeepEqual(t, state, []string{
		"core-1 owning grants", "core-1 agreement", "vm-2 start", "core-1 weights ordered s1", "core-1 server looked at s1",
	})
}

func TestVerdictServerDown(t *testing.T) {
	down := strings.ReplaceAll(collectedLog, `"request":"before","server":"s1"`, `"request":"before","server":"s3"`)
	s, err := Explain(readLines(t, down), "lost")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(s.Verdict.Reason, "the server was down"), s.Verdict.Reason)
}

func TestVerdictServerError(t *testing.T) {
	s, err := Explain(readLines(t, strings.ReplaceAll(collectedLog, `"outcome":"completed","took":5`, `"outcome":"completed","status":500,"took":5`)), "fine")
	assert.NilError(t, err)
	assert.Equal(t, s.Verdict.Reason, "the server's own failure, status 500")
}

func TestPrint(t *testing.T) {
	lines := readLines(t, collectedLog)
	s, err := Explain(lines, "lost")
	assert.NilError(t, err)
	var b strings.Builder
	assert.NilError(t, s.Print(&b))
	for _, want := range []string{
		"request lost, handled by vm-2\n", "clock offsets relative to the collector: vm-2 +2.000 s\n",
		"-1.400  core-1  owning grants accounts=2 term=3\n", "leader=677549946674331471",
		"+0.200  vm-2  request failed", "2 other requests ended, 1 of them failed",
		"outcome: outcome-unknown, endpoint-failed\ndecided by: the server's answer failed\n",
	} {
		assert.Assert(t, strings.Contains(b.String(), want), "%q is not in\n%s", want, b.String())
	}
}

func TestExplainWithoutCollectorTimes(t *testing.T) {
	var daemonLines []string
	for l := range strings.Lines(collectedLog) {
		if i := strings.Index(l, "{"); i >= 0 {
			daemonLines = append(daemonLines, l[i:])
		}
	}
	s, err := Explain(readLines(t, strings.Join(daemonLines, "")), "old-view")
	assert.NilError(t, err)
	var b strings.Builder
	assert.NilError(t, s.Print(&b))
	assert.Assert(t, strings.Contains(b.String(), "no collector's time in the input"))
	assert.Equal(t, s.Verdict.Kind, "stale")
}

func TestMissingLines(t *testing.T) {
	_, err := Explain(readLines(t, collectedLog), "unknown")
	assert.Equal(t, errkind.Of(err).Kind, errkind.NotFound)
	unfinished := `{"ts":"2026-06-15T08:00:00.000Z","msg":"prefix kept","vm":"vm-1","request":"r"}` + "\n"
	s, err := Explain(readLines(t, unfinished), "r")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(s.Verdict.Reason, "last line is missing"))
}

func TestFailedListsLatestOfEachKind(t *testing.T) {
	var ids []string
	for _, e := range Failed(readLines(t, collectedLog), 1) {
		ids = append(ids, e.Request)
	}
	assert.DeepEqual(t, ids, []string{"lost", "old-view"})
}

// namespaceLog holds requests of the client accounts a and b, of which b becomes isolated before its last one.
const namespaceLog = `{"level":"info","ts":"2026-06-15T08:00:01.000Z","msg":"request served","vm":"vm-1","request":"a1","server":"s1","sends":1,"client_account":"a","cache_namespace":"77aa","outcome":"completed","took":5}
{"level":"info","ts":"2026-06-15T08:00:02.000Z","msg":"request served","vm":"vm-2","request":"b1","server":"s1","sends":1,"client_account":"b","cache_namespace":"77aa","outcome":"completed","took":5}
{"level":"warn","ts":"2026-06-15T08:00:03.000Z","msg":"request failed","vm":"vm-1","request":"a2","server":"s2","sends":1,"client_account":"a","cache_namespace":"once-1","outcome":"outcome-unknown","kind":"endpoint-failed","took":5}
{"level":"info","ts":"2026-06-15T08:00:04.000Z","msg":"request served","vm":"vm-2","request":"b2","server":"s1","sends":2,"client_account":"b","cache_namespace":"99bb","outcome":"completed","took":5}
{"level":"warn","ts":"2026-06-15T08:00:05.000Z","msg":"request failed","vm":"vm-1","request":"unsent","server":"","sends":0,"client_account":"a","cache_namespace":"","outcome":"not-run","kind":"overloaded","took":5}
{"level":"info","ts":"2026-06-15T08:00:06.000Z","msg":"request served","vm":"vm-1","request":"nobody","server":"s1","sends":1,"client_account":"","cache_namespace":"","outcome":"completed","took":5}
{"level":"info","ts":"2026-06-15T08:00:07.000Z","msg":"request served","vm":"vm-1","request":"former","server":"s1","sends":1,"client_account":"a","outcome":"completed","took":5}
{"level":"info","ts":"2026-06-15T08:00:08.000Z","msg":"request served","vm":"vm-2","request":"passed-on","forwarded":true,"server":"s2","sends":1,"client_account":"b","cache_namespace":"99bb","outcome":"completed","took":5}
{"level":"info","ts":"2026-06-15T08:00:08.010Z","msg":"request served","vm":"vm-1","request":"passed-on","server":"","sends":1,"client_account":"b","cache_namespace":"","outcome":"completed","took":15}
`

// Guards against an explanation that hides which client accounts had a request's cache namespace, that names one that the
// request was not sent in, or that takes a namespace of one request for a shared one.
func TestExplainTellsWhoHadTheCacheNamespace(t *testing.T) {
	lines := readLines(t, namespaceLog)
	for id, want := range map[string]string{
		"a1":        "77aa; requests in the logs: a 1, b 1",
		"b1":        "77aa; requests in the logs: a 1, b 1",
		"a2":        "once-1: no other request has it",
		"b2":        "99bb; requests in the logs: b 2",
		"passed-on": "99bb; requests in the logs: b 2",
		"nobody":    "none, which all such requests share; requests in the logs: (no account) 1",
		"unsent":    "", "former": "",
	} {
		s, err := Explain(lines, id)
		assert.NilError(t, err)
		var b strings.Builder
		assert.NilError(t, s.Print(&b))
		assert.Equal(t, s.Namespace != nil, want != "", id)
		if want != "" {
			assert.Equal(t, s.Namespace.String(), want)
			assert.Assert(t, strings.Contains(b.String(), "\ncache namespace of its last attempt: "+want+"\n"), b.String())
		}
		assert.Equal(t, len(s.NamespaceOthers), map[string]int{"b1": 1}[id], id)
	}
	var shared []string
	for _, use := range Namespaces(append(lines, readLines(t, strings.Replace(namespaceLog, `"a2"`, `"a3"`, 1))[2])) {
		if use.Shared() {
			shared = append(shared, use.String())
		}
	}
	assert.DeepEqual(t, shared, []string{"77aa; requests in the logs: a 1, b 1", "once-1: only one request may have it, but 2 had: a 2"})
}
