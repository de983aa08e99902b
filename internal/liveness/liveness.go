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

// Listen listens on address; accepted connections have the same bound, and hold at
// most sendBuffer bytes (as the operating system counts them) that the other side has
// not taken. Without that limit the system would take megabytes for a side that reads
// nothing, and nobody would notice.
func Listen(ctx context.Context, address string, silence time.Duration, sendBuffer int) (net.Listener, error) {
	bound := control(silence)
	config := net.ListenConfig{KeepAliveConfig: keepAlive(silence), Control: func(network, address string, c syscall.RawConn) error {
		return errors.CombineErrors(bound(network, address, c), setOption(c, unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer))
	}}
	l, err := config.Listen(ctx, "tcp", address)
	return l, errors.Wrapf(err, "listen on %s", address)
}

func keepAlive(silence time.Duration) net.KeepAliveConfig {
	step := max(silence/(keepAliveProbes+1), time.Second)
	return net.KeepAliveConfig{Enable: true, Idle: step, Interval: step, Count: keepAliveProbes}
}

// control sets how long sent bytes may stay unacknowledged, and bytes to send unsent
// because the other side takes none.
func control(silence time.Duration) func(string, string, syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		return setOption(c, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	}
}

func setOption(c syscall.RawConn, level, option, value int) error {
	var failed error
	err := c.Control(func(fd uintptr) { failed = unix.SetsockoptInt(int(fd), level, option, value) })
	return errors.CombineErrors(err, failed)
}
