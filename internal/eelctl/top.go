package eelctl

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/internal/errkind"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"
)

const (
	defaultTopEvery = 2 * time.Second
	topQuantile     = 0.99
	// maxMetricsBytes bounds one VM's answer.
	maxMetricsBytes = 16 << 20
)

// topCommand shows the measures of each client account over all entry VMs, again and
// again.
func (a *app) topCommand() *cobra.Command {
	var every time.Duration
	var rounds int
	cmd := leaf("top", "Show live what each client account gets over all entry VMs", 0, func(cmd *cobra.Command, _ []string) error {
		return a.top(cmd.Context(), every, rounds)
	})
	cmd.Flags().DurationVar(&every, "every", defaultTopEvery, "time between two looks")
	cmd.Flags().IntVar(&rounds, "rounds", 0, "looks to print; 0 goes on until interrupted")
	return cmd
}

func (a *app) top(ctx context.Context, every time.Duration, rounds int) error {
	if every <= 0 {
		return errkind.New(errkind.InvalidRequest, "--every must be above 0")
	}
	c, err := a.connect()
	if err != nil {
		return err
	}
	before, _, err := look(ctx, c, every)
	if err != nil {
		return err
	}
	for n := 0; rounds == 0 || n < rounds; n++ {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(every):
		}
		now, silent, err := look(ctx, c, every)
		if err != nil {
			return err
		}
		if err := a.printTop(grown(before, now).rates(every), silent); err != nil {
			return err
		}
		maps.Copy(before, now) // a VM that did not answer is held against its last answer
	}
	return nil
}

// look reads the metrics of every entry VM that control knows, by its name, and names
// those that did not answer.
func look(ctx context.Context, c *client, bound time.Duration) (map[string]totals, []string, error) {
	status, err := call(ctx, c, &pb.StatusRequest{}, operatorClient.Status)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	vms := status.GetVms()
	families := make([]map[string]*dto.MetricFamily, len(vms))
	var g errgroup.Group
	for i, vm := range vms {
		g.Go(func() error {
			families[i], _ = scrape(ctx, vm.GetAddress()) // a VM without an answer is named below
			return nil
		})
	}
	_ = g.Wait()
	looked := map[string]totals{}
	var silent []string
	for i, f := range families {
		if f == nil {
			silent = append(silent, vms[i].GetName())
			continue
		}
		looked[vms[i].GetName()] = totalsOf(f)
	}
	return looked, silent, nil
}

func scrape(ctx context.Context, address string) (map[string]*dto.MetricFamily, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	return parser.TextToMetricFamilies(io.LimitReader(response.Body, maxMetricsBytes))
}

// total is what one client account got since the VMs started.
type total struct {
	requests, refusals, prompt, cached, recomputed, output float64
	buckets                                                map[float64]float64 // first token, by upper bound in seconds
}

// totals are kept by client account.
type totals map[string]*total

func (t totals) of(account string) *total {
	if t[account] == nil {
		t[account] = &total{buckets: map[float64]float64{}}
	}
	return t[account]
}

// totalsOf reads one VM's metrics.
func totalsOf(families map[string]*dto.MetricFamily) totals {
	t := totals{}
	counters := map[string]func(*total) *float64{
		"eelgrass_entry_requests_total":             func(x *total) *float64 { return &x.requests },
		"eelgrass_entry_refusals_total":             func(x *total) *float64 { return &x.refusals },
		"eelgrass_entry_prompt_tokens_total":        func(x *total) *float64 { return &x.prompt },
		"eelgrass_entry_cached_prompt_tokens_total": func(x *total) *float64 { return &x.cached },
		"eelgrass_entry_recomputed_tokens_total":    func(x *total) *float64 { return &x.recomputed },
		"eelgrass_entry_output_tokens_total":        func(x *total) *float64 { return &x.output },
	}
	for name, field := range counters {
		for _, m := range families[name].GetMetric() {
			*field(t.of(accountOf(m))) += m.GetCounter().GetValue()
		}
	}
	for _, m := range families["eelgrass_entry_first_token_seconds"].GetMetric() {
		buckets := t.of(accountOf(m)).buckets
		for _, b := range m.GetHistogram().GetBucket() {
			buckets[b.GetUpperBound()] += float64(b.GetCumulativeCount())
		}
	}
	return t
}

// grown sums what came between two looks over the VMs that answered both. A VM that
// restarted in between counts from 0.
func grown(before, now map[string]totals) totals {
	sum := totals{}
	for vm, counted := range now {
		old, known := before[vm]
		if !known {
			continue
		}
		for account, x := range counted {
			from := old.of(account)
			if x.requests < from.requests || x.refusals < from.refusals {
				from = &total{}
			}
			sum.of(account).add(x, from)
		}
	}
	return sum
}

// add adds the difference of two counts.
func (x *total) add(now, old *total) {
	x.requests += now.requests - old.requests
	x.refusals += now.refusals - old.refusals
	x.prompt += now.prompt - old.prompt
	x.cached += now.cached - old.cached
	x.recomputed += now.recomputed - old.recomputed
	x.output += now.output - old.output
	for bound, n := range now.buckets {
		x.buckets[bound] += n - old.buckets[bound]
	}
}

func accountOf(m *dto.Metric) string {
	for _, l := range m.GetLabel() {
		if l.GetName() == "client_account" {
			return l.GetValue()
		}
	}
	return ""
}

// AccountRate is a row of the live view: one client account over the last look.
type AccountRate struct {
	Account             string  `json:"client_account"`
	Requests            float64 `json:"requests_per_second"`
	Refusals            float64 `json:"refusals_per_second"`
	HitRate             float64 `json:"prefix_hit_rate"`
	FirstTokenP99       float64 `json:"first_token_p99_seconds"` // upper bound of its bucket
	RecomputedPerSecond float64 `json:"recomputed_tokens_per_second"`
	OutputPerSecond     float64 `json:"output_tokens_per_second"`
}

// rates are by the second, the busiest client account first.
func (t totals) rates(every time.Duration) []AccountRate {
	rates := make([]AccountRate, 0, len(t))
	for account, x := range t {
		r := AccountRate{
			Account: account, Requests: x.requests / every.Seconds(), Refusals: x.refusals / every.Seconds(),
			RecomputedPerSecond: x.recomputed / every.Seconds(), OutputPerSecond: x.output / every.Seconds(),
			FirstTokenP99: quantile(x.buckets, topQuantile),
		}
		if x.prompt > 0 {
			r.HitRate = x.cached / x.prompt
		}
		rates = append(rates, r)
	}
	slices.SortFunc(rates, func(a, b AccountRate) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Account, b.Account))
	})
	return rates
}

// quantile returns the upper bound of the bucket that holds the quantile of cumulative
// counts, 0 for none.
func quantile(buckets map[float64]float64, q float64) float64 {
	bounds := slices.Sorted(maps.Keys(buckets))
	if len(bounds) == 0 || buckets[bounds[len(bounds)-1]] <= 0 {
		return 0
	}
	most := buckets[bounds[len(bounds)-1]]
	i := slices.IndexFunc(bounds, func(bound float64) bool { return buckets[bound] >= q*most })
	return bounds[i]
}

func (a *app) printTop(rates []AccountRate, silent []string) error {
	if a.output == "json" {
		return json.NewEncoder(a.out).Encode(struct {
			Accounts []AccountRate `json:"client_accounts"`
			Silent   []string      `json:"vms_without_answer"`
		}{rates, silent})
	}
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "client account\trequests/s\trefused/s\thit rate\tfirst token p99 s\trecomputed tokens/s\toutput tokens/s\t")
	for _, r := range rates {
		_, _ = fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.3f\t%.3g\t%.0f\t%.0f\t\n", r.Account, r.Requests, r.Refusals, r.HitRate,
			r.FirstTokenP99, r.RecomputedPerSecond, r.OutputPerSecond)
	}
	for _, vm := range silent {
		_, _ = fmt.Fprintf(w, "%s does not answer\t\n", vm)
	}
	return w.Flush()
}
