package forward

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"eelgrasshollow/internal/gateway"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

const (
	// slotsPerCore is the number of forwarded requests that a VM serves at the same time per core,
	// and minSlots the number that the smallest VM serves.
	slotsPerCore = 320
	minSlots     = 32
	// retryAfterFull is the time after which a full VM may be asked again: slots of short requests
	// become free within it.
	retryAfterFull = 200 * time.Millisecond
	// headerForwarded marks every response of a Handler.
	headerForwarded = "Eelgrass-Forwarded"
)

// Slots returns the number of forwarded requests that a VM with that many cores serves at the same
// time; 0 cores mean that their number is unknown.
func Slots(cores float64) int {
	if cores <= 0 {
		cores = 1
	}
	return max(minSlots, int(slotsPerCore*cores))
}

// Handler serves requests that other VMs forward.
type Handler struct {
	serve    func(ctx context.Context, w http.ResponseWriter, r *gateway.Request) (complete bool)
	isolated func() bool
	slots    int
	log      *zap.Logger
	inFlight atomic.Int64
	received *prometheus.CounterVec
}

// NewHandler returns a handler that serves up to slots requests at the same time. serve responds
// to a request; isolated reports whether this VM reaches no server.
func NewHandler(serve func(context.Context, http.ResponseWriter, *gateway.Request) bool, isolated func() bool, slots int, log *zap.Logger) *Handler {
	return &Handler{serve: serve, isolated: isolated, slots: slots, log: log, received: prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "eelgrass", Subsystem: "forward", Name: "received_total", Help: "Requests that other VMs forwarded, by result: served, or the reason why not run.",
	}, []string{"result"})}
}

// Collectors returns the metrics of the handler.
func (h *Handler) Collectors() []prometheus.Collector {
	return []prometheus.Collector{h.received, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "eelgrass", Subsystem: "forward", Name: "in_flight", Help: "Requests of other VMs that run at this VM.",
	}, func() float64 { return float64(h.inFlight.Load()) })}
}

// FreeSlots returns the number of further requests that the handler takes now.
func (h *Handler) FreeSlots() int { return max(h.slots-int(h.inFlight.Load()), 0) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerForwarded, "1")
	if r.URL.Path != Path || r.Method != http.MethodPost {
		http.NotFound(w, r)
		return
	}
	body := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	defer h.inFlight.Add(-1)
	if h.inFlight.Add(1) > int64(h.slots) {
		discard(body)
		h.refuse(w, reasonFull)
		return
	}
	if h.isolated() {
		discard(body)
		h.refuse(w, reasonIsolated)
		return
	}
	m, err := decode(body)
	discard(body) // only then does the context end when the other VM disconnects
	if err != nil {
		h.log.Warn("forwarded request can't be decoded", zap.String("from", r.RemoteAddr), zap.Error(err))
		reason := reasonUndecodable
		if errors.Is(err, errVersion) {
			reason = reasonVersion
		}
		h.refuse(w, reason)
		return
	}
	request := &m.Request
	request.Forwarded, request.Arrived, request.ClientTimeout = true, time.Now(), max(m.TimeLeft, time.Millisecond)
	h.received.WithLabelValues("served").Inc()
	if !h.serve(r.Context(), w, request) {
		panic(http.ErrAbortHandler) // a truncated response must not look complete
	}
}

// refuse states that the request has not run and why.
func (h *Handler) refuse(w http.ResponseWriter, reason string) {
	h.received.WithLabelValues(reason).Inc()
	w.Header().Set(gateway.HeaderNotRun, reason)
	if reason == reasonFull {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfterFull.Seconds(), 'f', 3, 64))
	}
	http.Error(w, reason, http.StatusServiceUnavailable)
}
