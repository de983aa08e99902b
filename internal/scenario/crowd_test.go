package scenario

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/internal/crowd"
)

const (
	crowdEntryMB, crowdControlMB = 134, 280
	crowdDescriptors             = 600
	// crowdTime limits how long a client of a crowd sends.
	crowdTime = 12 * time.Second
	// crowdWait limits the wait for an ordinary request. It is not a bound under test.
	crowdWait = 30 * time.Second
)

// crowdFleet starts a control VM and an entry VM that serves the own interface, with limits of memory and descriptors.
func crowdFleet(t *testing.T) (f *fleet, metricsAddress string) {
	f = newFleet(t.TempDir(), binDir, fleetSize{control: 1, entry: 1, engine: 1, plain: 1})
	metricsAddress = freeAddress()
	f.entryNode = fmt.Sprintf("memory = %d MiB\ndescriptors = %d\n", crowdEntryMB, crowdDescriptors)
	f.controlNode = fmt.Sprintf("memory = %d MiB\ndescriptors = %d\nmetrics_address = %s\n", crowdControlMB, crowdDescriptors, metricsAddress)
	t.Cleanup(f.stop)
	assert.NilError(t, f.start())
	return f, metricsAddress
}

// awaitCondition polls until the condition holds and fails the test after crowdWait.
func awaitCondition(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(crowdWait); time.Now().Before(end); time.Sleep(retryInterval) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting for: %s", description)
}

// checkCrowd gathers a crowd at an address of a process and checks the process while the crowd is connected.
func (f *fleet) checkCrowd(t *testing.T, name, address string, memoryMB int, c crowd.Crowd, serves func() bool) {
	const mb, samples, interval = 1 << 20, 10, 50 * time.Millisecond
	p := f.processes[name]
	assert.NilError(t, p.restart())
	awaitCondition(t, "ordinary requests are served", serves)
	release := c.Gather(address, crowdTime)
	defer release()
	descriptors := 0
	sample := func() crowd.Resources {
		r, err := crowd.ResourcesOf(p.cmd.Process.Pid)
		assert.NilError(t, err, name)
		descriptors = max(descriptors, r.Descriptors)
		return r
	}
	sample()
	awaitCondition(t, "ordinary requests are served beside the crowd", serves)
	for range samples { // the last connections may still wait to be accepted
		sample()
		time.Sleep(interval)
	}
	r := sample()
	t.Logf("%s, %d clients: resident %.1f MB at most, %d descriptors", c.Name, c.Clients, float64(r.MostResident)/mb, descriptors)
	assert.Assert(t, r.MostResident < int64(memoryMB)*mb, "memory limit of %d MB is passed", memoryMB)
	assert.Assert(t, descriptors <= crowdDescriptors, "limit of %d descriptors is passed", crowdDescriptors)
}

// restart kills the process and starts it again.
func (p *process) restart() error {
	p.killIfRunning()
	return p.start()
}

// TestCrowdAtOwnInterface guards against daemons with settings of their own that pass their limits under clients that don't
// behave: at the OpenAI interface, also with HTTP/2, for peers, for operators and for metrics.
func TestCrowdAtOwnInterface(t *testing.T) {
	f, metricsAddress := crowdFleet(t)
	served := func() bool {
		return f.call(callSpec{entry: "entry-1", kind: "stock", account: "litoral", body: "b", timeout: time.Second}).status == http.StatusOK
	}
	changes := 0
	changed := func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		changes++
		_, err := f.operator(0).IssueKey(ctx, connect.NewRequest(&pb.IssueKeyRequest{
			Meta: &pb.ChangeMeta{OperationId: fmt.Sprint("crowd-", changes)}, ClientAccount: accounts[0].GetName(),
		}))
		return err == nil
	}
	for _, c := range append(append(crowd.Heads("/stock/tagliatelle"), crowd.HTTP2("/hours")...), crowd.Silent(2*crowdDescriptors), unfinishedBodies(f.keys["litoral"])) {
		t.Run("callers/"+c.Name, func(t *testing.T) { f.checkCrowd(t, "entry-1", f.addresses["entry-1"], crowdEntryMB, c, served) })
	}
	for _, c := range append(crowd.Heads("/eelgrass.v1.Operator/Change"), crowd.Silent(2*crowdDescriptors)) {
		t.Run("operators/"+c.Name, func(t *testing.T) { f.checkCrowd(t, "control-1", f.operators[0], crowdControlMB, c, changed) })
	}
	for _, c := range append(crowd.Heads("/metrics")[:2], crowd.Silent(2*crowdDescriptors)) {
		t.Run("metrics/"+c.Name, func(t *testing.T) { f.checkCrowd(t, "control-1", metricsAddress, crowdControlMB, c, changed) })
	}
	for _, c := range []crowd.Crowd{crowd.Announced(), crowd.Silent(2 * crowdDescriptors)} {
		t.Run("peers/"+c.Name, func(t *testing.T) { f.checkCrowd(t, "control-1", f.addresses["control-1"], crowdControlMB, c, changed) })
	}
}

// unfinishedBodies returns clients of an account whose bodies do not come to an end.
func unfinishedBodies(key string) crowd.Crowd {
	const kilobyte, body = 1000, 4 << 20
	return crowd.NewCrowd("unfinished bodies", 200, fmt.Sprintf("POST /stock/tagliatelle HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", key, body),
		body-kilobyte, crowd.Constant(strings.Repeat("b", kilobyte)))
}
