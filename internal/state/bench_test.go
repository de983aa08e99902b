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

// sizes of a fleet for the slopes.
var benchSizes = []int{100, 1_000, 12_000}

// filled returns a machine with n endpoints, a tenth as many accounts, a key each,
// and 19 models.
func filled(b *testing.B, n int) *Machine {
	m := NewMachine()
	var muts []*pb.Mutation
	for i := range 19 {
		muts = append(muts, &pb.Mutation{Change: &pb.Mutation_PutModel{PutModel: &pb.Model{Name: fmt.Sprint("model", i), WeightsVersion: "1"}}})
	}
	for i := range n / 10 {
		muts = append(muts, account(fmt.Sprint("account", i), 1000), key(fmt.Sprint("key", i), fmt.Sprint("account", i)))
	}
	for i := range n {
		muts = append(muts, &pb.Mutation{Change: &pb.Mutation_PutEndpoint{PutEndpoint: &pb.Endpoint{Name: fmt.Sprint("engine", i),
			Address: "10.0.0.1:8000", FailureDomain: "d1", Role: pb.EndpointRole_ENDPOINT_ROLE_ENGINE, Models: []string{fmt.Sprint("model", i%19)}}}})
	}
	_, err := apply(b, m, "fill", muts...)
	assert.NilError(b, err)
	return m
}

// BenchmarkChange measures one change of one object at the size of a fleet.
func BenchmarkChange(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			m := filled(b, n)
			op := 0
			for b.Loop() {
				op++
				mut := account("account0", int64(op))
				mut.AnyRevision = true
				_, err := apply(b, m, fmt.Sprint("op", op), mut)
				assert.NilError(b, err)
			}
		})
	}
}

// BenchmarkView measures what a watcher does with one delta.
func BenchmarkView(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			m := filled(b, n)
			before := m.View().Configuration()
			mut := account("account0", 5)
			mut.AnyRevision = true
			_, err := apply(b, m, "op", mut)
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

// BenchmarkEndpointDelta measures what a watcher does with one delta of an endpoint,
// which rebuilds the endpoints' indexes.
func BenchmarkEndpointDelta(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			m := filled(b, n)
			before := m.View().Configuration()
			mut := &pb.Mutation{AnyRevision: true, Change: &pb.Mutation_PutEndpoint{PutEndpoint: &pb.Endpoint{Name: "engine0",
				Address: "10.0.0.1:8000", Role: pb.EndpointRole_ENDPOINT_ROLE_ENGINE, Models: []string{"model0"}, Leaving: true}}}
			_, err := apply(b, m, "op", mut)
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

// BenchmarkViewMemory reports the heap that a watcher's view holds for each endpoint,
// with its share of accounts and keys.
func BenchmarkViewMemory(b *testing.B) {
	const n = 12_000
	configuration := filled(b, n).View().Configuration()
	raw, err := proto.Marshal(configuration)
	assert.NilError(b, err)
	for b.Loop() {
		before := heapBytes()
		own := &pb.Configuration{}
		assert.NilError(b, proto.Unmarshal(raw, own))
		view := NewView(own)
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
