// Package eelctl is the operators' command-line client: every call of the operator
// API as a command, with text or JSON output and an exit code per error kind.
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
	// tryTimeout bounds one try at one replica, waits excepted.
	tryTimeout = 6 * time.Second
	// retryPause is the wait between two rounds over the replicas.
	retryPause = 200 * time.Millisecond
)

// client sends calls to any replica that answers.
type client struct {
	replicas []eelgrassv1connect.OperatorClient
	timeout  time.Duration
}

func newClient(servers []string, tokenFile string, timeout time.Duration) (*client, error) {
	token, err := readToken(tokenFile)
	if err != nil {
		return nil, err
	}
	c := &client{timeout: timeout}
	auth := connect.WithInterceptors(bearer(token))
	for _, s := range servers {
		c.replicas = append(c.replicas, eelgrassv1connect.NewOperatorClient(http.DefaultClient, s, auth))
	}
	if len(c.replicas) == 0 {
		return nil, errkind.New(errkind.InvalidRequest, "no server is given")
	}
	return c, nil
}

// readToken takes the last word of the file, so that a line of the operators' file
// serves as well.
func readToken(path string) (string, error) {
	if path == "" {
		return "", errkind.New(errkind.InvalidRequest, "--token-file or EELCTL_TOKEN_FILE is needed")
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return "", errkind.Wrap(err, errkind.InvalidRequest, "token file")
	}
	fields := strings.Fields(string(b))
	if len(fields) == 0 {
		return "", errkind.New(errkind.InvalidRequest, "token file is empty")
	}
	return fields[len(fields)-1], nil
}

func bearer(token string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			req.Header().Set("Authorization", "Bearer "+token)
			return next(ctx, req)
		}
	}
}

// call makes one call and resends it through the other replicas while it may be
// answered there; the operation ID makes it count once.
func call[Req, Resp any](ctx context.Context, c *client, msg *Req,
	method func(eelgrassv1connect.OperatorClient, context.Context, *connect.Request[Req]) (*connect.Response[Resp], error)) (*Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	for {
		var err error
		for _, r := range c.replicas {
			var resp *connect.Response[Resp]
			tryCtx, cancelTry := context.WithTimeout(ctx, max(tryTimeout, c.timeout/2))
			resp, err = method(r, tryCtx, connect.NewRequest(msg))
			cancelTry()
			if err == nil {
				return resp.Msg, nil
			}
			if err = control.FromRPC(err); !again(err) {
				return nil, err
			}
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(retryPause):
		}
	}
}

func again(err error) bool {
	switch errkind.Of(err).Kind {
	case errkind.Timeout, errkind.NotLeader, errkind.NoQuorum, errkind.Draining:
		return true
	}
	return false
}
