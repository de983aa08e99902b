package membership

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"eelgrasshollow/internal/errkind"

	"gotest.tools/v3/assert"
)

const testExpiry = 3 * time.Second

var testStart = time.Unix(1_000, 0)

func report(name string, incarnation, revision uint64) Report {
	return Report{VM: VM{Name: name, Address: name + ":1", Incarnation: incarnation}, Revision: revision}
}

func TestVMLagsUntilConfirmedOrExpired(t *testing.T) {
	table := NewTable(testExpiry)
	table.RecordReport(report("a", 1, 4), testStart)
	table.RecordReport(report("b", 1, 5), testStart)
	table.RecordReplica(2, 5)
	names, complete := table.Lagging(5, []uint64{2}, testStart)
	assert.DeepEqual(t, names, []string{"a"})
	assert.Assert(t, complete)
	_, complete = table.Lagging(5, []uint64{2, 3}, testStart)
	assert.Assert(t, !complete, "replica 3 may have reports of other VMs")
	table.RecordReport(report("a", 1, 5), testStart.Add(time.Second))
	names, _ = table.Lagging(5, nil, testStart.Add(time.Second))
	assert.Equal(t, len(names), 0)
	names, _ = table.Lagging(6, nil, testStart.Add(2*testExpiry))
	assert.Equal(t, len(names), 0, "VMs without a recent report do not serve")
}

// TestOlderIncarnationStillLags has a new process report under the name of a VM whose
// previous process may still serve until its last report has expired.
func TestOlderIncarnationStillLags(t *testing.T) {
	table := NewTable(testExpiry)
	table.RecordReport(report("a", 1, 4), testStart)
	table.RecordReport(report("a", 2, 5), testStart.Add(time.Second))
	names, _ := table.Lagging(5, nil, testStart.Add(time.Second))
	assert.DeepEqual(t, names, []string{"a"})
	vms, _ := table.VMs(testStart.Add(time.Second))
	assert.Equal(t, len(vms), 1)
	assert.Equal(t, vms[0].Incarnation, uint64(2))
}

// TestDelayedReportDoesNotOverwriteNewerOne records a report that another replica forwards
// late. It must change neither the revision nor the description of the VM.
func TestDelayedReportDoesNotOverwriteNewerOne(t *testing.T) {
	table := NewTable(testExpiry)
	table.RecordReport(report("a", 1, 5), testStart)
	old := report("a", 1, 4)
	old.Age, old.Leaving = time.Second, true
	table.RecordReport(old, testStart)
	r := table.Reports(testStart)
	assert.Equal(t, r[0].Revision, uint64(5))
	assert.Assert(t, !r[0].Leaving)
}

func TestPlatformList(t *testing.T) {
	body := `{"vms":[{"name":"x","address":"10.0.0.1","state":"leaving"},{"name":"y","state":"live"}],"age_ms":900}`
	status := http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	defer server.Close()
	client := NewPlatformClient(strings.TrimPrefix(server.URL, "http://"))
	list, err := client.List(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, LeavingNames(list), map[string]bool{"x": true, "10.0.0.1": true})
	table := NewTable(testExpiry)
	table.RecordReport(report("x", 1, 1), testStart)
	table.SetLeaving(LeavingNames(list))
	vms, _ := table.VMs(testStart)
	assert.Assert(t, vms[0].Leaving)
	status = http.StatusInternalServerError
	_, err = client.List(t.Context())
	assert.Equal(t, errkind.Of(err).Kind, errkind.EndpointFailed)
}
