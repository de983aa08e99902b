// Package unknownheader reports headers of endpoints' responses that no code here reads. One of them may
// be a new instruction to callers, which would otherwise be passed on in silence.
package unknownheader

import (
	"net/http"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

const (
	// maxNames is the number of header names that are logged.
	maxNames = 32
	// maxNameBytes is the length to which a logged name is cut.
	maxNameBytes = 64
)

// standardNames are headers of HTTP that say nothing about the endpoint.
var standardNames = []string{
	"Accept-Ranges", "Age", "Allow", "Alt-Svc", "Cache-Control", "Connection", "Content-Disposition", "Content-Encoding",
	"Content-Language", "Content-Length", "Content-Location", "Content-Range", "Content-Type", "Date", "Etag", "Expires",
	"Keep-Alive", "Last-Modified", "Link", "Location", "Pragma", "Retry-After", "Server", "Set-Cookie",
	"Strict-Transport-Security", "Trailer", "Transfer-Encoding", "Upgrade", "Vary", "Via", "Www-Authenticate",
	"X-Content-Type-Options",
}

// Watch counts the responses that have unknown headers and logs each name once. It is safe for
// concurrent use.
type Watch struct {
	known map[string]bool
	log   *zap.Logger
	total prometheus.Counter

	mu     sync.Mutex
	logged map[string]bool
}

// New returns a Watch for which the standard headers and those with the given names are known.
func New(log *zap.Logger, names ...string) *Watch {
	w := &Watch{known: map[string]bool{}, log: log, logged: map[string]bool{}, total: prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "eelgrass", Subsystem: "upstream", Name: "unknown_header_responses_total",
		Help: "Responses of endpoints with a header that is neither standard nor known here.",
	})}
	for _, list := range [][]string{standardNames, names} {
		for _, name := range list {
			w.known[http.CanonicalHeaderKey(name)] = true
		}
	}
	return w
}

// Collector returns the metric of a Watch.
func (w *Watch) Collector() prometheus.Collector { return w.total }

// Check looks at the headers of a response of an endpoint. It never logs a value.
func (w *Watch) Check(endpoint string, h http.Header) {
	found := false
	for name := range h {
		if !w.known[name] {
			found = true
			w.report(endpoint, name)
		}
	}
	if found {
		w.total.Inc()
	}
}

// report logs a name, unless it or maxNames others have been logged.
func (w *Watch) report(endpoint, name string) {
	name = name[:min(len(name), maxNameBytes)]
	w.mu.Lock()
	skip := w.logged[name] || len(w.logged) >= maxNames
	if !skip {
		w.logged[name] = true
	}
	last := len(w.logged) == maxNames
	w.mu.Unlock()
	if skip {
		return
	}
	w.log.Warn("response header is not known", zap.String("header", name), zap.String("endpoint", endpoint), zap.Bool("last_logged", last))
}
