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
	defaultTopInterval = 2 * time.Second
	topQuantile        = 0.99
	// maxMetricsBytes bounds the metrics response that is read from one VM.
	maxMetricsBytes = 16 << 20
)

// topCommand returns the command that repeatedly shows the rates of each client account,
// summed over all entry VMs.
func (a *app) topCommand() *cobra.Command {
	var interval time.Duration
	var rounds int
	cmd := newCommand("top", "Show live rates of each client account over all entry VMs", 0, func(cmd *cobra.Command, _ []string) error {
		return a.top(cmd.Context(), interval, rounds)
	})
	cmd.Flags().DurationVar(&interval, "every", defaultTopInterval, "time between two samples")
	cmd.Flags().IntVar(&rounds, "rounds", 0, "number of samples to print; 0 prints until interrupted")
	return cmd
}

func (a *app) top(ctx context.Context, interval time.Duration, rounds int) error {
	if interval <= 0 {
		return errkind.New(errkind.InvalidRequest, "--every must be above 0")
	}
	c, err := a.connect()
	if err != nil {
		return err
	}
	before, _, err := sample(ctx, c, interval)
	if err != nil {
		return err
	}
	for n := 0; rounds == 0 || n < rounds; n++ {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(interval):
		}
		now, unresponsive, err := sample(ctx, c, interval)
		if err != nil {
			return err
		}
		if err := a.printTop(increase(before, now).rates(interval), unresponsive); err != nil {
			return err
		}
		maps.Copy(before, now) // a VM that did not respond keeps its last values for the next comparison
	}
	return nil
}

// sample reads the metrics of every entry VM that the control replica reports. It returns the
// totals by VM name and the names of the VMs that did not respond within timeout.
func sample(ctx context.Context, c *client, timeout time.Duration) (map[string]totals, []string, error) {
	status, err := call(ctx, c, &pb.StatusRequest{}, operatorClient.Status)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	vms := status.GetVms()
	families := make([]map[string]*dto.MetricFamily, len(vms))
	var g errgroup.Group
	for i, vm := range vms {
		g.Go(func() error {
			families[i], _ = scrape(ctx, vm.GetAddress()) // a VM that does not respond is returned by name below
			return nil
		})
	}
	_ = g.Wait()
	sampled := map[string]totals{}
	var unresponsive []string
	for i, f := range families {
		if f == nil {
			unresponsive = append(unresponsive, vms[i].GetName())
			continue
		}
		sampled[vms[i].GetName()] = totalsOf(f)
	}
	return sampled, unresponsive, nil
}

// scrape reads the metrics of the entry VM at address, by metric name.
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

// total holds the counts of one client account since the start of the VMs; prompt, cached,
// recomputed and output are in tokens.
type total struct {
	requests, refusals, prompt, cached, recomputed, output float64
	buckets                                                map[float64]float64 // cumulative time to first token, by upper bound in seconds
}

// totals holds the total of each client account by its name.
type totals map[string]*total

// of returns the total of an account. If the account is missing, it adds a total of 0 first.
func (t totals) of(account string) *total {
	if t[account] == nil {
		t[account] = &total{buckets: map[float64]float64{}}
	}
	return t[account]
}

// totalsOf returns the totals in the metrics of one VM.
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

// increase returns the growth of the counts between two samples, summed over the VMs that are
// in both. A VM that restarted in between counts from 0.
func increase(before, now map[string]totals) totals {
	sum := totals{}
	for vm, current := range now {
		previous, exists := before[vm]
		if !exists {
			continue
		}
		for account, x := range current {
			base := previous.of(account)
			if x.requests < base.requests || x.refusals < base.refusals {
				base = &total{}
			}
			sum.of(account).add(x, base)
		}
	}
	return sum
}

// add adds the difference between two totals of a VM.
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

// accountOf returns the client account of a metric, or "" if it has none.
func accountOf(m *dto.Metric) string {
	for _, l := range m.GetLabel() {
		if l.GetName() == "client_account" {
			return l.GetValue()
		}
	}
	return ""
}

// AccountRate is a row of the output of top: the rates of one client account since the
// previous sample.
type AccountRate struct {
	Account             string  `json:"client_account"`
	Requests            float64 `json:"requests_per_second"`
	Refusals            float64 `json:"refusals_per_second"`
	HitRate             float64 `json:"prefix_hit_rate"`
	FirstTokenP99       float64 `json:"first_token_p99_seconds"` // upper bound of the histogram bucket
	RecomputedPerSecond float64 `json:"recomputed_tokens_per_second"`
	OutputPerSecond     float64 `json:"output_tokens_per_second"`
}

// rates returns the totals of an interval per second, the client account with the most requests
// first.
func (t totals) rates(interval time.Duration) []AccountRate {
	rates := make([]AccountRate, 0, len(t))
	for account, x := range t {
		r := AccountRate{
			Account: account, Requests: x.requests / interval.Seconds(), Refusals: x.refusals / interval.Seconds(),
			RecomputedPerSecond: x.recomputed / interval.Seconds(), OutputPerSecond: x.output / interval.Seconds(),
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

// quantile returns the upper bound of the bucket that contains quantile q, from cumulative
// counts by upper bound; 0 without any count.
func quantile(buckets map[float64]float64, q float64) float64 {
	bounds := slices.Sorted(maps.Keys(buckets))
	if len(bounds) == 0 || buckets[bounds[len(bounds)-1]] <= 0 {
		return 0
	}
	count := buckets[bounds[len(bounds)-1]]
	i := slices.IndexFunc(bounds, func(bound float64) bool { return buckets[bound] >= q*count })
	return bounds[i]
}

func (a *app) printTop(rates []AccountRate, unresponsive []string) error {
	if a.output == "json" {
		return json.NewEncoder(a.out).Encode(struct {
			Accounts []AccountRate `json:"client_accounts"`
			Silent   []string      `json:"vms_without_answer"`
		}{rates, unresponsive})
	}
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "client account\trequests/s\trefused/s\thit rate\tfirst token p99 s\trecomputed tokens/s\toutput tokens/s\t")
	for _, r := range rates {
		_, _ = fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.3f\t%.3g\t%.0f\t%.0f\t\n", r.Account, r.Requests, r.Refusals, r.HitRate,
			r.FirstTokenP99, r.RecomputedPerSecond, r.OutputPerSecond)
	}
	for _, vm := range unresponsive {
		_, _ = fmt.Fprintf(w, "%s does not answer\t\n", vm)
	}
	return w.Flush()
}
