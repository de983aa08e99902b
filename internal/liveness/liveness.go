// Package liveness opens TCP connections that the operating system aborts when the
// peer stops acknowledging, so that a connection whose state a device on the path has
// lost ends within a known time.
package liveness

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// keepAliveProbes is the number of unanswered probes after which an idle connection is
// aborted.
const keepAliveProbes = 3

// Dialer returns a dialer that connects within connectTimeout. Its connections are
// aborted when the peer acknowledges nothing for ackTimeout.
func Dialer(connectTimeout, ackTimeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: connectTimeout, KeepAliveConfig: keepAlive(ackTimeout), Control: setUserTimeout(ackTimeout)}
}

// BoundedDialer returns a dialer as Dialer does, whose connections buffer at most receiveBuffer bytes (as
// the operating system counts them) that have arrived and have not been read. Without that limit
// the system would buffer megabytes of a response that nobody reads.
func BoundedDialer(connectTimeout, ackTimeout time.Duration, receiveBuffer int) *net.Dialer {
	d := Dialer(connectTimeout, ackTimeout)
	setTimeout := d.Control
	d.Control = func(network, address string, c syscall.RawConn) error {
		return errors.CombineErrors(setTimeout(network, address, c), setOption(c, unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer))
	}
	return d
}

// AbortingDialer returns a dialer as Dialer does, whose connections are aborted when they are closed or their process
// ends: bytes that the peer has not received by then never reach it.
func AbortingDialer(connectTimeout, ackTimeout time.Duration) *net.Dialer {
	d := Dialer(connectTimeout, ackTimeout)
	setTimeout := d.Control
	d.Control = func(network, address string, c syscall.RawConn) error {
		var setErr error
		err := c.Control(func(fd uintptr) {
			setErr = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
		})
		return errors.CombineErrors(setTimeout(network, address, c), errors.CombineErrors(err, setErr))
	}
	return d
}

// Listen listens on address. Accepted connections are aborted when the peer
// acknowledges nothing for ackTimeout, and buffer at most sendBuffer bytes (as the
// operating system counts them) that the peer has not received, and receiveBuffer
// bytes that have arrived and have not been read. Without these limits the system would
// buffer megabytes for a peer that reads nothing, and the server would not detect that
// peer, or megabytes of a peer that sends more than the server reads.
func Listen(ctx context.Context, address string, ackTimeout time.Duration, sendBuffer, receiveBuffer int) (net.Listener, error) {
	setTimeout := setUserTimeout(ackTimeout)
	config := net.ListenConfig{KeepAliveConfig: keepAlive(ackTimeout), Control: func(network, address string, c syscall.RawConn) error {
		err := errors.CombineErrors(setTimeout(network, address, c), setOption(c, unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer))
		return errors.CombineErrors(err, setOption(c, unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer))
	}}
	l, err := config.Listen(ctx, "tcp", address)
	return l, errors.Wrapf(err, "listen on %s", address)
}

// keepAlive spreads the first probe and its repetitions over ackTimeout. The operating
// system counts the times in whole seconds.
func keepAlive(ackTimeout time.Duration) net.KeepAliveConfig {
	interval := max(ackTimeout/(keepAliveProbes+1), time.Second)
	return net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: keepAliveProbes}
}

// setUserTimeout returns a socket control function that bounds how long sent bytes may
// stay unacknowledged, and how long buffered bytes may stay unsent because the peer's
// receive window is full.
func setUserTimeout(ackTimeout time.Duration) func(string, string, syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		return setOption(c, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	}
}

func setOption(c syscall.RawConn, level, option, value int) error {
	var setErr error
	err := c.Control(func(fd uintptr) { setErr = unix.SetsockoptInt(int(fd), level, option, value) })
	return errors.CombineErrors(err, setErr)
}

// Refused reports whether err is that of a connection that was refused: no process listens at the
// address.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
