package gateway

import (
	"context"
	"net/http"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/releasetraffic"
	"eelgrasshollow/internal/routing"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// ErrNotPermitted marks the error of a send that Attempt.Permitted prevented before its first byte.
var ErrNotPermitted = errors.New("the server may no longer be used")

// maxWithdrawn is the number of times that the server of one request may be withdrawn before it is sent:
// that takes a change of the rollout or a pause of this VM each time.
const maxWithdrawn = 5

// releaseState is the part of an exchange that depends on the rollout of its service.
type releaseState struct {
	request  *releasetraffic.Request
	arm      releasetraffic.Arm
	attempts int // that failed, without those that were not permitted
	// withdrawn counts the servers that were picked and could no longer be used.
	withdrawn int
	// rollout is the running one when the current attempt was sent, or nil.
	rollout *releasetraffic.Rollout
}

// chooseArm chooses the release for the next attempt and returns the tiers of servers for routing, or
// nil if all servers of the service are open.
func (g *Gateway) chooseArm(x *exchange) func(endpoint, release string) int {
	view, age := g.Directory.ViewWithAge()
	table := view.Releases
	if !table.Restricts(x.service) {
		return nil
	}
	if x.release.attempts == 0 {
		x.release.arm = table.Choose(x.service, x.route.Name, x.ID, x.LastEventID != "", age)
	} else {
		x.release.arm = table.AfterFailure(x.service, x.release.arm, age)
	}
	x.release.request.SetArm(x.release.arm)
	service, arm := x.service, x.release.arm
	return func(endpoint, release string) int {
		return g.Directory.View().Releases.Tier(service, arm, endpoint, release)
	}
}

// maySend reports whether the request may still be sent to the server that was picked. The rollout may
// have changed, or the VM may have been paused, since its arm was chosen.
func (g *Gateway) maySend(x *exchange, d routing.Decision) bool {
	view, age := g.Directory.ViewWithAge()
	x.release.rollout = nil
	if !view.Releases.Restricts(x.service) {
		return true
	}
	arm := x.release.arm
	if r := view.Releases.Rollout(x.service); arm.New && r != nil && d.Release != r.Release {
		// The request is counted on the old release before the state is read by which it may use it.
		x.release.arm = releasetraffic.Arm{Number: arm.Number}
		x.release.request.SetArm(x.release.arm)
		view, age = g.Directory.ViewWithAge()
	}
	if !view.Releases.Permits(x.service, arm, d.Endpoint, d.Release, age) {
		x.release.arm = arm
		return false
	}
	if r := view.Releases.Rollout(x.service); r != nil && r.Running() {
		x.release.rollout = r
	}
	return true
}

// permitted returns the condition under which the first byte of the attempt may be sent; nil for none.
func (g *Gateway) permitted(x *exchange, d routing.Decision) func() bool {
	if !g.Directory.View().Releases.Restricts(x.service) {
		return nil
	}
	arm := x.release.arm
	return func() bool {
		view, age := g.Directory.ViewWithAge()
		return view.Releases.Permits(x.service, arm, d.Endpoint, d.Release, age)
	}
}

// withdraw gives a ticket back whose server may no longer be used, and reports whether the request may
// be placed again.
func (g *Gateway) withdraw(x *exchange, ticket routing.Ticket) bool {
	ticket.Done(routing.Result{Err: errkind.New(errkind.Canceled, "not sent")})
	x.release.withdrawn++
	g.Log.Info("server withdrawn before the request was sent", zap.String("request", x.ID), zap.String("server", ticket.Decision().Endpoint),
		zap.Duration("config_age", g.Directory.Age()))
	return x.release.withdrawn <= maxWithdrawn
}

// beginReleaseAttempt begins to count an attempt.
func (x *exchange) beginReleaseAttempt(decision routing.Decision) *releasetraffic.Attempt {
	return x.release.request.Attempt(releasetraffic.Target{
		Route: x.route.Name, Server: decision.Endpoint, Release: decision.Release, Rollout: x.release.rollout, UncachedTokens: decision.UncachedTokens,
	})
}

// releaseResult returns what an attempt says about its server's release.
func (x *exchange) releaseResult(reply *Reply, err error) releasetraffic.Result {
	switch {
	case err == nil && reply.Status < http.StatusInternalServerError:
		return releasetraffic.Answered
	case err == nil:
		return releasetraffic.Failed
	case notRun(err), errkind.Is(err, errkind.Canceled):
		return releasetraffic.SaysNothing
	case x.ctx.Err() != nil && !errors.Is(context.Cause(x.ctx), errDeadline):
		return releasetraffic.SaysNothing // the client has disconnected
	}
	return releasetraffic.Failed
}
