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

const (
	// maxEventBytes limits the size of one event of a stream.
	maxEventBytes = 1 << 20
	// includedEventMemory is the memory that each stream has for its events apart from the budget of all responses.
	includedEventMemory = 64 << 10
	// maxIdleBytes limits what a server may send between two events that continue a stream, such
	// as comments, and maxReplayBytes the events that the client has received already.
	maxIdleBytes   = 16 << 10
	maxReplayBytes = 1 << 20
)

// stream relays the events of a stream as they arrive and records the ID of the last one that
// was written in x.LastEventID. If the stream breaks, attempts may resume it after that
// event at another server, if the route allows that.
func (g *Gateway) stream(ctx context.Context, x *exchange, reply *Reply, received, started func()) error {
	x.mayHaveRun = true
	resumed := x.headWritten // by the server of an earlier attempt
	body := g.readAheadOf(x, reply)
	defer body.end()
	lease := g.Memory.Lease(includedEventMemory)
	defer lease.Release()
	events := engine.NewEventReader(body, maxEventBytes, lease)
	controller := http.NewResponseController(x.w)
	lastID, err := strconv.Atoi(x.LastEventID)
	if err != nil {
		lastID = 0 // the stream starts with its first event
	}
	gap := g.Metrics.eventGap.WithLabelValues(x.route.Name)
	lastEventAt := time.Now()
	begun, idleBytes := false, 0
	reached := false // the server has sent the last event that the client has, or a later one
	begunAt := lastEventAt
	x.steps, x.decoding = 0, 0
	for {
		event, err := events.NextRaw()
		if err == io.EOF {
			switch {
			case reply.Unframed && !begun && !reached:
				err = io.ErrUnexpectedEOF // nothing says that this is its end
			case resumed && !begun && !reached:
				// The end of a stream that the server may not know is not that of the client's.
				return errkind.New(errkind.StreamBroken, "resumed stream ended without event %d or a later one", lastID)
			default:
				x.writeHead(reply) // a stream may have no events
				return nil
			}
		}
		if err != nil {
			return brokenResponse(ctx, err)
		}
		received()
		if err := checkForeign(event, resumed && !begun, lastID); err != nil {
			return err
		}
		if continues := event.HasData && (event.ID > lastID || lastID == 0); !continues {
			limit := maxIdleBytes
			if event.HasData && event.ID > 0 {
				limit = maxReplayBytes
			}
			if idleBytes += len(event.Bytes); idleBytes > limit {
				return errkind.New(errkind.StreamBroken, "server sent %d bytes that do not continue the stream", idleBytes)
			}
		} else {
			if begun {
				gap.Observe(time.Since(lastEventAt).Seconds())
				x.steps++
			} else {
				begun, begunAt = true, time.Now()
				started()
				g.Metrics.firstEvent.WithLabelValues(x.route.Name).Observe(time.Since(x.Arrived).Seconds())
			}
			lastEventAt, idleBytes = time.Now(), 0
			x.decoding = lastEventAt.Sub(begunAt)
		}
		if event.ID > 0 && event.ID <= lastID {
			reached = reached || event.ID == lastID
			continue
		}
		if event.Blank && resumed && !begun {
			continue // nothing has shown yet that this is the rest of the stream
		}
		if event.ID > lastID+1 && lastID > 0 && x.resumes > 0 {
			return errkind.New(errkind.StreamBroken, "stream resumed at event %d after event %d", event.ID, lastID)
		}
		x.writeHead(reply)
		if err := body.write(func() error {
			if _, err := x.w.Write(event.Bytes); err != nil {
				return err
			}
			return controller.Flush()
		}); err != nil {
			return errkind.Wrap(err, errkind.Canceled, "client disconnected")
		}
		switch {
		case event.ID > 0:
			lastID = event.ID
			x.LastEventID, x.unnumbered = strconv.Itoa(lastID), false
		case event.HasData || event.Foreign:
			x.unnumbered = true
		}
	}
}

// checkForeign returns an error for text without an ID that does not belong into the stream, such as that of an error
// response. After events with IDs only parts of an event stream may follow. untried is set until another server has gone on
// with the stream of the one before: it must do so with an ID.
func checkForeign(event engine.RawEvent, untried bool, lastID int) error {
	if event.ID > 0 || event.Blank || lastID == 0 && !untried {
		return nil
	}
	if event.Foreign || untried && lastID > 0 {
		return errkind.New(errkind.StreamBroken, "server sent text that is no part of the stream after event %d", lastID)
	}
	return nil
}

// writeHead writes the response header of a stream, unless it has been written: a resumed
// stream keeps the header of its first server.
func (x *exchange) writeHead(reply *Reply) {
	if x.headWritten {
		return
	}
	x.headWritten = true
	x.status = reply.Status
	copyHeader(x.w.Header(), reply.Header)
	x.w.WriteHeader(reply.Status)
}
