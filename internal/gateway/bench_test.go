package gateway

import (
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"eelgrasshollow/internal/fleet"
	"eelgrasshollow/internal/logging"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// countingWriter counts the bytes written to it.
type countingWriter struct{ bytes atomic.Int64 }

func (c *countingWriter) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	return len(p), nil
}

// BenchmarkLogging serves a request with logging on and off, and reports the bytes logged.
func BenchmarkLogging(b *testing.B) {
	out := &countingWriter{}
	bounded := logging.NewBoundedWriter(out)
	log, err := logging.NewWithOutput(logging.Settings{Level: "info"}, "eelgrass-entry", "vm", bounded)
	assert.NilError(b, err)
	for name, log := range map[string]*zap.Logger{"on": log.Named("gateway"), "off": zap.NewNop()} {
		b.Run(name, func(b *testing.B) {
			before := out.bytes.Load()
			g, up := newGateway(b, setup{kind: fleet.NonIdempotent, servers: servers{"a": reply(200, "x", false)}}, log)
			b.ReportAllocs()
			for b.Loop() {
				g.Serve(b.Context(), httptest.NewRecorder(), newRequest())
				up.sent = up.sent[:0]
			}
			b.ReportMetric(float64(out.bytes.Load()-before)/float64(b.N), "B/request")
		})
	}
	b.Logf("%d lines dropped", bounded.Dropped())
}
