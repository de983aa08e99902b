package state

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"

	pb "eelgrasshollow/gen/eelgrass/v1"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

// benchSizes lists the numbers of endpoints of the benchmarks.
var benchSizes = []int{100, 1_000, 12_000}

// newFilledMachine returns a machine with n endpoints, n/10 accounts with one key each,
// and 19 models.
func newFilledMachine(b *testing.B, n int) *Machine {
	m := NewMachine()
	var mutations []*pb.Mutation
	for i := range 19 {
		mutations = append(mutations, &pb.Mutation{Change: &pb.Mutation_PutModel{PutModel: &pb.Model{Name: fmt.Sprint("model", i), WeightsVersion: "1"}}})
	}
	for i := range n / 10 {
		mutations = append(mutations, putAccount(fmt.Sprint("account", i), 1000), putKey(fmt.Sprint("key", i), fmt.Sprint("account", i)))
	}
	for i := range n {
		mutations = append(mutations, &pb.Mutation{Change: &pb.Mutation_PutEndpoint{PutEndpoint: &pb.Endpoint{Name: fmt.Sprint("engine", i),
			Address: "10.0.0.1:8000", FailureDomain: "d1", Role: pb.EndpointRole_ENDPOINT_ROLE_ENGINE, Models: []string{fmt.Sprint("model", i%19)}}}})
	}
	_, err := applyMutations(b, m, "fill", mutations...)
	assert.NilError(b, err)
	return m
}

// BenchmarkChange measures a change of one object in fleets of several sizes.
func BenchmarkChange(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			m := newFilledMachine(b, n)
			op := 0
			for b.Loop() {
				op++
				mutation := putAccount("account0", int64(op))
				mutation.AnyRevision = true
				_, err := applyMutations(b, m, fmt.Sprint("op", op), mutation)
				assert.NilError(b, err)
			}
		})
	}
}

// BenchmarkView measures a watcher's update of its view by one delta.
func BenchmarkView(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			m := newFilledMachine(b, n)
			before := m.View().Configuration()
			mutation := putAccount("account0", 5)
			mutation.AnyRevision = true
			_, err := applyMutations(b, m, "op", mutation)
			assert.NilError(b, err)
			d, ok := m.Delta(before.GetRevision())
			assert.Assert(b, ok)
			var image bytes.Buffer
			assert.NilError(b, m.Snapshot(&image))
			view := NewView(before)
			for b.Loop() {
				view.WithDelta(d)
			}
			b.ReportMetric(float64(proto.Size(d)), "delta-B")
			b.ReportMetric(float64(proto.Size(before)), "configuration-B")
		})
	}
}

// BenchmarkEndpointDelta measures a watcher's update of its view by a delta that changes
// one endpoint, which rebuilds the indexes of endpoints.
func BenchmarkEndpointDelta(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			m := newFilledMachine(b, n)
			before := m.View().Configuration()
			mutation := &pb.Mutation{AnyRevision: true, Change: &pb.Mutation_PutEndpoint{PutEndpoint: &pb.Endpoint{Name: "engine0",
				Address: "10.0.0.1:8000", Role: pb.EndpointRole_ENDPOINT_ROLE_ENGINE, Models: []string{"model0"}, Leaving: true}}}
			_, err := applyMutations(b, m, "op", mutation)
			assert.NilError(b, err)
			d, ok := m.Delta(before.GetRevision())
			assert.Assert(b, ok)
			view := NewView(before)
			for b.Loop() {
				view.WithDelta(d)
			}
		})
	}
}

// BenchmarkViewMemory reports the heap bytes of a watcher's view per endpoint, including
// the accounts and keys.
func BenchmarkViewMemory(b *testing.B) {
	const n = 12_000
	configuration := newFilledMachine(b, n).View().Configuration()
	raw, err := proto.Marshal(configuration)
	assert.NilError(b, err)
	for b.Loop() {
		before := heapBytes()
		decoded := &pb.Configuration{}
		assert.NilError(b, proto.Unmarshal(raw, decoded))
		view := NewView(decoded)
		b.ReportMetric(float64(heapBytes()-before)/n, "B/endpoint")
		runtime.KeepAlive(view)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
