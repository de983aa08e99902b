// Package liveness opens TCP connections on which the operating system gives up a
// peer that stopped acknowledging, so that a connection which something on the path
// has lost track of ends within a stated bound.
package liveness

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// keepAliveProbes is how many unanswered probes end an idle connection.
const keepAliveProbes = 3

// Dialer returns a dialer that connects within connect and gives a connection up
// when the other side acknowledges nothing for silence.
func Dialer(connect, silence time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: connect, KeepAliveConfig: keepAlive(silence), Control: control(silence)}
}

// Listen listens on address; accepted connections have the same bound.
func Listen(ctx context.Context, address string, silence time.Duration) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive(silence), Control: control(silence)}
	l, err := config.Listen(ctx, "tcp", address)
	return l, errors.Wrapf(err, "listen on %s", address)
}

func keepAlive(silence time.Duration) net.KeepAliveConfig {
	step := max(silence/(keepAliveProbes+1), time.Second)
	return net.KeepAliveConfig{Enable: true, Idle: step, Interval: step, Count: keepAliveProbes}
}

// control sets how long sent bytes may stay unacknowledged.
func control(silence time.Duration) func(string, string, syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
		})
		return errors.CombineErrors(err, failed)
	}
}
