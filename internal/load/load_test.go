package load

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasshollow/internal/engineapi"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/settings"
	"eelgrasshollow/internal/standin"
)

// fleet is one engine and one plain service behind a front that adds what the system
// would; double makes it run orders twice, lie makes it say not-run after running.
type fleet struct {
	engine, plain, front *httptest.Server
	double, lie          bool
	answered             sync.Map // Idempotency-Key -> body of the first answer
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{
		engine: httptest.NewServer(standin.NewEngine(standin.EngineConfig{CacheBlocks: 100, BatchSlots: 64, PrefillRate: 1e9}).Handler()),
		plain:  httptest.NewServer(standin.NewPlainService("orders", 0).Handler()),
	}
	f.front = httptest.NewServer(http.HandlerFunc(f.serve))
	for _, s := range []*httptest.Server{f.front, f.engine, f.plain} {
		t.Cleanup(s.Close)
	}
	return f
}

func address(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

func (f *fleet) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/entries" {
		fmt.Fprintf(w, `{"entries":[{"address":%q}],"keep_ms":1000}`, address(f.front))
		return
	}
	if first, ok := f.answered.Load(r.Header.Get("Idempotency-Key")); ok && !f.double {
		_, _ = io.WriteString(w, first.(string))
		return
	}
	to := f.plain
	if strings.HasPrefix(r.URL.Path, "/v1/") {
		to = f.engine
	}
	body, _ := io.ReadAll(r.Body)
	response := f.pass(r, to, string(body))
	defer response.Body.Close()
	if f.double && to == f.plain {
		_ = f.pass(r, to, string(body)).Body.Close()
	}
	if f.lie && to == f.plain {
		w.Header().Set(errkind.OutcomeHeader, string(errkind.NotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
	answer, _ := io.ReadAll(response.Body)
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		f.answered.Store(key, string(answer))
	}
	_, _ = w.Write(answer)
}

func (f *fleet) pass(r *http.Request, to *httptest.Server, body string) *http.Response {
	out, _ := http.NewRequest(r.Method, to.URL+r.URL.Path, strings.NewReader(body))
	out.Header.Set("Idempotency-Key", r.Header.Get("Idempotency-Key"))
	out.Header.Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	response, err := http.DefaultClient.Do(out)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return response
}

func (f *fleet) settings(t *testing.T) Settings {
	text := fmt.Sprintf(`
[target]
entries = %s
accounts_file = unused
plain_endpoints = %s
engine_endpoints = %s
[run]
duration = 1s
rate = 60
callers = 5
[prompts]
levels = 2000x3, 1000x4
max_tokens = 8
[mix]
model = m
order_share = 0.3
`, address(f.front), address(f.plain), address(f.engine))
	var s Settings
	assert.NilError(t, settings.Parse("load.ini", []byte(text), &s))
	return s
}

func testAccounts() []Account {
	return []Account{{Name: "a", Key: "eg_1_2", Share: 1, Rate: 1e9, Burst: 1e9}, {Name: "b", Key: "eg_3_4", Share: 2, Rate: 1e9, Burst: 1e9}}
}

func (f *fleet) run(t *testing.T) (*Trace, *Report) {
	trace, err := Execute(t.Context(), f.settings(t), testAccounts(), io.Discard)
	assert.NilError(t, err)
	return trace, NewReport(trace, Judge(t.Context(), trace))
}

func TestRunHoldsOnARightFleet(t *testing.T) {
	_, report := newFleet(t).run(t)
	assert.Assert(t, !report.HasViolations(), "%+v", report.Verdicts)
	assert.Equal(t, report.OK, report.Requests)
	assert.Assert(t, report.Requests > 20 && report.Cache.CachedTokens > 0)
	path := filepath.Join(t.TempDir(), "report.json")
	assert.NilError(t, report.WriteJSON(path))
	again, err := ReadReport(path)
	assert.NilError(t, err)
	assert.DeepEqual(t, again.Verdicts, report.Verdicts)
	html := filepath.Join(t.TempDir(), "report.html")
	assert.NilError(t, report.WriteHTML(html))
	page, err := os.ReadFile(html)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(page), "data:image/png"))
}

// Every oracle must be able to fail.
func TestOraclesCatchBrokenPromises(t *testing.T) {
	broken := func(r *Report, oracle int) {
		t.Helper()
		assert.Assert(t, r.Verdicts[oracle].Broken > 0, "%+v", r.Verdicts)
	}
	t.Run("crossed answers", func(t *testing.T) {
		f := newFleet(t)
		response, err := http.Post(f.engine.URL+"/admin/fault", "", strings.NewReader(`{"kind":"crossed"}`))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusNoContent)
		_, report := f.run(t)
		broken(report, 0)
	})
	t.Run("doubled orders", func(t *testing.T) {
		f := newFleet(t)
		f.double = true
		_, report := f.run(t)
		broken(report, 1)
	})
	t.Run("false not-run", func(t *testing.T) {
		f := newFleet(t)
		f.lie = true
		_, report := f.run(t)
		broken(report, 2)
	})
	t.Run("tokens over grant", func(t *testing.T) {
		trace, _ := newFleet(t).run(t)
		trace.Accounts[0].Rate, trace.Accounts[0].Burst = 10, 10
		broken(NewReport(trace, Judge(t.Context(), trace)), 3)
	})
	t.Run("withdrawn key still served", func(t *testing.T) {
		trace, _ := newFleet(t).run(t)
		trace.Settings.Oracles.WithdrawAccount = "a"
		trace.Withdrawn = &Withdrawal{Account: "a", Accepted: 0}
		trace.Settings.Oracles.WithdrawBound = 100 * time.Millisecond
		broken(NewReport(trace, Judge(t.Context(), trace)), 4)
	})
}

func TestWorkloadIsRepeatable(t *testing.T) {
	s := newFleet(t).settings(t)
	calls := func() (all []call) {
		w, err := newWorkload(s, testAccounts())
		assert.NilError(t, err)
		for c, ok := w.next(); ok; c, ok = w.next() {
			all = append(all, c)
		}
		return all
	}
	first, second := calls(), calls()
	assert.Equal(t, len(first), len(second))
	for i := range first {
		assert.Equal(t, first[i], second[i])
	}
}

func TestSettingsReportEveryProblem(t *testing.T) {
	var s Settings
	err := settings.Parse("load.ini", []byte("[target]\nentries =\naccounts_file = a\n[prompts]\nlevels = 5\n[mix]\nmodel = m\nlookup_share = 0.9\norder_share = 0.9\n"), &s)
	assert.ErrorContains(t, err, `[prompts] levels: "5" is not TOKENSxCOUNT`)
	assert.ErrorContains(t, err, "[target] entries: names no address")
	assert.ErrorContains(t, err, "load.ini:9: [mix] order_share: with lookup_share is above 1")
}

func TestReferenceBucketKnowsNoMoreThanARealOne(t *testing.T) {
	second := time.Second
	account := Account{Name: "a", Rate: 100, Burst: 1000}
	usage := func(total int) (u engineapi.Usage) { u.TotalTokens = total; return u }
	refused := func(at time.Duration, asked int64) Attempt {
		return Attempt{Account: "a", Kind: Chat, Start: at, End: at, ReservedTokens: asked, Code: errkind.RateLimited.String()}
	}
	trace := &Trace{Attempts: []Attempt{
		{Account: "a", Kind: Chat, OK: true, Start: 0, End: 4 * second, ReservedTokens: 900, Usage: usage(100)},
		refused(second, 300),   // 100 + 100 held: rightly refused
		refused(3*second, 300), // 100 + 300: wrongly
		refused(5*second, 900), // all but 100 given back, refilled: wrongly
	}}
	used, wrongly := againstCentralBucket(trace, account)
	assert.Equal(t, used, int64(100))
	assert.Equal(t, wrongly, 2)
}

func TestRefusalsAreJudgedWhenTheyAreGiven(t *testing.T) {
	const ms = time.Millisecond
	account := Account{Name: "a", Rate: 1000, Burst: 4000}
	usage := func(total int) (u engineapi.Usage) { u.TotalTokens = total; return u }
	chat := func(start, end time.Duration, ok bool) Attempt {
		a := Attempt{Account: "a", Kind: Chat, Start: start, End: end, ReservedTokens: 3000, OK: ok}
		if ok {
			a.Usage = usage(3000)
		} else {
			a.Code = errkind.RateLimited.String()
		}
		return a
	}
	for _, c := range []struct {
		name    string
		refused Attempt
		wrongly int
	}{
		{"another request took the tokens while it waited", chat(2010*ms, 2100*ms, false), 0},
		{"refused at once while the tokens are there", chat(2010*ms, 2011*ms, false), 1},
		{"the tokens came while it waited, and nobody took them", chat(4900*ms, 5100*ms, false), 1},
		{"refused before the tokens came", chat(4700*ms, 4900*ms, false), 0},
		{"within what clocks may be off", chat(4700*ms, 5004*ms, false), 0},
	} {
		// 4000 at first; 1000 left; 3000 again after 2 s, taken at 2.02 s; again at 5.02 s.
		trace := &Trace{Attempts: []Attempt{chat(0, ms, true), chat(2020*ms, 2100*ms, true), c.refused}}
		_, wrongly := againstCentralBucket(trace, account)
		assert.Equal(t, wrongly, c.wrongly, c.name)
	}
}
