// Package eelctl implements the operators' command-line client. Each call of the operator
// API is a command with text or JSON output and an exit code for each error kind.
package eelctl

import (
	"context"
	"net/http"
	"os"
	"strings"
	"time"

	"eelgrasshollow/gen/eelgrass/v1/eelgrassv1connect"
	"eelgrasshollow/internal/control"
	"eelgrasshollow/internal/errkind"

	"connectrpc.com/connect"
)

const (
	// minAttemptTimeout is the least timeout of one call to one replica. If half of the
	// command's timeout is longer, as for a long wait, that is used instead.
	minAttemptTimeout = 6 * time.Second
	// retryDelay is the delay before the replicas are tried again after all have failed.
	retryDelay = 200 * time.Millisecond
)

// client sends each call to the first control replica that can answer it.
type client struct {
	replicas []eelgrassv1connect.OperatorClient
	timeout  time.Duration // bounds a call, retries included
}

// newClient returns a client of the operator API at the given base URLs, with the token in
// tokenFile.
func newClient(servers []string, tokenFile string, timeout time.Duration) (*client, error) {
	token, err := readToken(tokenFile)
	if err != nil {
		return nil, err
	}
	c := &client{timeout: timeout}
	auth := connect.WithInterceptors(bearer(token))
	for _, url := range servers {
		c.replicas = append(c.replicas, eelgrassv1connect.NewOperatorClient(http.DefaultClient, url, auth))
	}
	if len(c.replicas) == 0 {
		return nil, errkind.New(errkind.InvalidRequest, "--server is empty")
	}
	return c, nil
}

// readToken returns the last word of the file. The file may thus be a copy of a line of the
// operators' file of the control replicas, in which the token comes last.
func readToken(path string) (string, error) {
	if path == "" {
		return "", errkind.New(errkind.InvalidRequest, "--token-file or EELCTL_TOKEN_FILE is required")
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return "", errkind.Wrap(err, errkind.InvalidRequest, "token file")
	}
	fields := strings.Fields(string(content))
	if len(fields) == 0 {
		return "", errkind.New(errkind.InvalidRequest, "token file is empty")
	}
	return fields[len(fields)-1], nil
}

// bearer returns an interceptor that adds the token to each call.
func bearer(token string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			req.Header().Set("Authorization", "Bearer "+token)
			return next(ctx, req)
		}
	}
}

// call sends one call to the replicas in turn until one answers, for at most c.timeout. It
// returns any error that is not retryable immediately, and the last error after the timeout.
// The operation ID of a change keeps a repeated call from being applied twice.
func call[Req, Resp any](ctx context.Context, c *client, msg *Req,
	method func(eelgrassv1connect.OperatorClient, context.Context, *connect.Request[Req]) (*connect.Response[Resp], error)) (*Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	for {
		var err error
		for _, r := range c.replicas {
			var resp *connect.Response[Resp]
			attemptCtx, cancelAttempt := context.WithTimeout(ctx, max(minAttemptTimeout, c.timeout/2))
			resp, err = method(r, attemptCtx, connect.NewRequest(msg))
			cancelAttempt()
			if err == nil {
				return resp.Msg, nil
			}
			if err = control.FromRPC(err); !retryable(err) {
				return nil, err
			}
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(retryDelay):
		}
	}
}

// retryable reports whether another replica, or the same one later, may answer a call that
// failed with err.
func retryable(err error) bool {
	switch errkind.Of(err).Kind {
	case errkind.Timeout, errkind.NotLeader, errkind.NoQuorum, errkind.Draining:
		return true
	}
	return false
}
