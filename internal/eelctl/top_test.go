package eelctl

import (
	"strings"
	"testing"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"gotest.tools/v3/assert"
)

// parseSample parses the metrics of VMs, which are named "a", "b" and so on.
func parseSample(t *testing.T, vms ...string) map[string]totals {
	sample := map[string]totals{}
	for i, text := range vms {
		parser := expfmt.NewTextParser(model.UTF8Validation)
		families, err := parser.TextToMetricFamilies(strings.NewReader(text))
		assert.NilError(t, err)
		sample[string(rune('a'+i))] = totalsOf(families)
	}
	return sample
}

func TestRatesAreSummedOverVMs(t *testing.T) {
	const first = `# TYPE eelgrass_entry_requests_total counter
eelgrass_entry_requests_total{client_account="litoral",route="quotes"} 10
`
	const later = `# TYPE eelgrass_entry_requests_total counter
eelgrass_entry_requests_total{client_account="litoral",route="quotes"} 14
eelgrass_entry_requests_total{client_account="litoral",route="stock"} 2
# TYPE eelgrass_entry_prompt_tokens_total counter
eelgrass_entry_prompt_tokens_total{client_account="litoral",route="quotes"} 1000
# TYPE eelgrass_entry_cached_prompt_tokens_total counter
eelgrass_entry_cached_prompt_tokens_total{client_account="litoral",route="quotes"} 900
# TYPE eelgrass_entry_first_token_seconds histogram
eelgrass_entry_first_token_seconds_bucket{client_account="litoral",route="quotes",le="0.1"} 3
eelgrass_entry_first_token_seconds_bucket{client_account="litoral",route="quotes",le="0.41"} 4
eelgrass_entry_first_token_seconds_bucket{client_account="litoral",route="quotes",le="+Inf"} 4
eelgrass_entry_first_token_seconds_count{client_account="litoral",route="quotes"} 4
eelgrass_entry_first_token_seconds_sum{client_account="litoral",route="quotes"} 1
`
	rates := increase(parseSample(t, first, first), parseSample(t, later, later)).rates(2 * time.Second)
	assert.DeepEqual(t, rates, []AccountRate{{Account: "litoral", Requests: 6, HitRate: 0.9, FirstTokenP99: 0.41}})
}

// The counts of a restarted VM start from 0 again, and a VM that does not respond has none.
// Neither may make the sum over the VMs wrong.
func TestRatesWithRestartedAndUnresponsiveVMs(t *testing.T) {
	const text = "# TYPE eelgrass_entry_requests_total counter\neelgrass_entry_requests_total{client_account=\"x\",route=\"r\"} "
	before := parseSample(t, text+"50\n", text+"50\n", text+"50\n")
	now := parseSample(t, text+"1\n", text+"60\n") // the first VM was restarted, the third did not respond
	assert.Equal(t, increase(before, now).rates(time.Second)[0].Requests, 11.0)
}
