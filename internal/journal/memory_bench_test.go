package journal

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkRecordMemory reports the heap size per settled record with an answer of 64 bytes.
func BenchmarkRecordMemory(b *testing.B) {
	const (
		records   = 100_000
		batchSize = 100
	)
	limits := Limits{Retention: time.Hour, BeginLease: time.Second, RunTime: time.Minute, Records: records * 2, Bytes: 1 << 30, AnswerSize: 1 << 16}
	for b.Loop() {
		before := heapBytes()
		m := NewMachine()
		for i := 0; i < records; i += batchSize {
			claims := batch{Now: 1, Limits: limits}
			completions := batch{Now: 1, Limits: limits}
			for j := range batchSize {
				id := fmt.Sprint("order-", i+j)
				claims.Ops = append(claims.Ops, op{Op: opClaim, Account: "a", ID: id, Claim: id})
				completions.Ops = append(completions.Ops, op{Op: opComplete, Account: "a", ID: id, Claim: id, Answer: Answer{Status: 200, ContentType: "application/json", Body: make([]byte, 64)}})
			}
			for _, c := range []batch{claims, completions} {
				data, err := encode(c)
				if err != nil {
					b.Fatal(err)
				}
				m.Apply(uint64(i), data)
			}
		}
		b.ReportMetric(float64(heapBytes()-before)/float64(len(m.records)), "B/record")
		runtime.KeepAlive(m)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
