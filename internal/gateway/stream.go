package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"eelgrasshollow/internal/engine"
	"eelgrasshollow/internal/errkind"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// stream relays events as they come. After an event was written a break is mended by
// going on at another server, where the route allows that.
func (g *Gateway) stream(ctx context.Context, x *exchange, reply *Reply, started func()) error {
	x.mayRun = true
	events := engine.NewEventReader(reply.Body, maxEventBytes)
	control := http.NewResponseController(x.w)
	after, err := strconv.Atoi(x.LastEventID)
	if err != nil {
		after = 0 // the stream begins
	}
	gap := g.Metrics.gap.WithLabelValues(x.route.Name)
	last := time.Now()
	for first := true; ; first = false {
		event, err := events.NextRaw()
		if err == io.EOF {
			x.head(reply) // a stream may have no event left
			return nil
		}
		if err != nil {
			return broken(ctx, err)
		}
		if first {
			started()
			g.Metrics.first.WithLabelValues(x.route.Name).Observe(time.Since(x.Arrived).Seconds())
		} else {
			gap.Observe(time.Since(last).Seconds())
		}
		last = time.Now()
		if event.ID > 0 && event.ID <= after {
			continue
		}
		if event.ID > after+1 && after > 0 && x.resumed > 0 {
			return errkind.New(errkind.StreamBroken, "stream went on at event %d after %d", event.ID, after)
		}
		x.head(reply)
		if _, err := x.w.Write(event.Bytes); err != nil {
			return errkind.Wrap(err, errkind.Canceled, "client left")
		}
		if err := control.Flush(); err != nil {
			return errkind.Wrap(err, errkind.Canceled, "client left")
		}
		if event.ID > 0 {
			after = event.ID
			x.LastEventID = strconv.Itoa(after)
		}
	}
}

// head writes the head of a stream's answer, which is its first server's.
func (x *exchange) head(reply *Reply) {
	if x.begun {
		return
	}
	x.begun = true
	x.status = reply.Status
	copyHeader(x.w.Header(), reply.Header)
	x.w.WriteHeader(reply.Status)
}
