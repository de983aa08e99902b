package loopback

import (
	"io"
	"net"
	"os/exec"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startEchoServer starts a server that returns the bytes that it receives, and returns its address.
func startEchoServer(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return l.Addr().String()
}

func newLink(t *testing.T) *Link {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return New(l, startEchoServer(t))
}

func dial(t *testing.T, k *Link) net.Conn {
	c, err := net.Dial("tcp", k.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// echoes sends a byte and reports whether it comes back within the timeout.
func echoes(t *testing.T, c net.Conn, timeout time.Duration) bool {
	_, err := c.Write([]byte{1})
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(timeout)))
	_, err = c.Read(make([]byte, 1))
	return err == nil
}

const (
	longTimeout  = 10 * time.Second
	shortTimeout = 100 * time.Millisecond
)

func TestLinkCutAndHeal(t *testing.T) {
	for _, cut := range [][2]bool{{true, true}, {true, false}, {false, true}} {
		k := newLink(t)
		defer k.Close()
		c := dial(t, k)
		assert.Assert(t, echoes(t, c, longTimeout))
		k.Cut(cut[0], cut[1])
		assert.Assert(t, !echoes(t, c, shortTimeout))
		assert.Assert(t, !echoes(t, dial(t, k), shortTimeout))
		k.Heal()
		assert.Assert(t, echoes(t, dial(t, k), longTimeout))
		assert.Assert(t, echoes(t, c, longTimeout)) // the byte sent during the cut is delivered
	}
}

func TestLinkSilenceAffectsOpenConnectionsOnly(t *testing.T) {
	k := newLink(t)
	defer k.Close()
	c := dial(t, k)
	assert.Assert(t, echoes(t, c, longTimeout))
	assert.Equal(t, k.Silence(), 1)
	assert.Assert(t, !echoes(t, c, shortTimeout))
	assert.Assert(t, echoes(t, dial(t, k), longTimeout))
	assert.Assert(t, !echoes(t, c, shortTimeout))
}

func TestLinkResetAndDelay(t *testing.T) {
	k := newLink(t)
	defer k.Close()
	c := dial(t, k)
	assert.Assert(t, echoes(t, c, longTimeout))
	k.Delay(2 * shortTimeout)
	assert.Assert(t, !echoes(t, c, shortTimeout))
	k.Delay(0)
	assert.Assert(t, echoes(t, dial(t, k), longTimeout))
	assert.Equal(t, k.Reset(), 2)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(longTimeout)))
	_, err := io.ReadAll(c)
	assert.ErrorContains(t, err, "reset")
	assert.Assert(t, echoes(t, dial(t, k), longTimeout))
}

// A fault of one client's connections must not affect those of another client.
func TestLinkFaultsOfOneClient(t *testing.T) {
	for name, fault := range map[string]func(*Link, func(client, link net.Addr) bool) int{"silence": (*Link).SilenceOf, "reset": (*Link).ResetOf} {
		t.Run(name, func(t *testing.T) {
			k := newLink(t)
			defer k.Close()
			one, other := dial(t, k), dial(t, k)
			assert.Assert(t, echoes(t, one, longTimeout) && echoes(t, other, longTimeout))
			n := fault(k, func(client, _ net.Addr) bool { return client.String() == one.LocalAddr().String() })
			assert.Equal(t, n, 1)
			assert.Assert(t, echoes(t, other, longTimeout))
			_, err := one.Write([]byte{1}) // fails after a reset
			assert.NilError(t, one.SetReadDeadline(time.Now().Add(shortTimeout)))
			if err == nil {
				_, err = one.Read(make([]byte, 1))
			}
			assert.Assert(t, err != nil)
		})
	}
}

// Guards against a link whose port is given to another socket while it refuses connections, so that it can't listen again.
func TestRefusingLinkKeepsItsAddress(t *testing.T) {
	k := newLink(t)
	defer k.Close()
	address := k.Address()
	open := dial(t, k)
	assert.Assert(t, echoes(t, open, longTimeout))
	assert.NilError(t, k.Refuse())
	_, err := net.Dial("tcp", address)
	assert.ErrorContains(t, err, "refused")
	_, err = net.Listen("tcp", address)
	assert.ErrorContains(t, err, "address already in use")
	assert.Assert(t, echoes(t, open, longTimeout))
	assert.NilError(t, k.Accept())
	assert.Equal(t, k.Address(), address)
	assert.Assert(t, echoes(t, dial(t, k), longTimeout))
}

// Guards against a request that is attributed to another client than the one whose connection carried it.
func TestClientOfForwardedConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	target, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = target.Close() }()
	k := New(l, target.Addr().String())
	defer k.Close()
	for range 3 {
		c := dial(t, k)
		arrived, err := target.Accept()
		assert.NilError(t, err)
		_, err = c.Write([]byte{1})
		assert.NilError(t, err)
		_, err = arrived.Read(make([]byte, 1)) // the link has connected the two
		assert.NilError(t, err)
		client, link, open := k.ClientOf(arrived.RemoteAddr().String())
		assert.Assert(t, open)
		assert.Equal(t, client.String(), c.LocalAddr().String())
		assert.Equal(t, link.String(), k.Address())
	}
	_, _, open := k.ClientOf(target.Addr().String())
	assert.Assert(t, !open)
}

// Guards against a listener that outlives Refuse in a child process that has been forked and has not started its program yet.
func TestLinkRefusesWhileProcessesStart(t *testing.T) {
	k := newLink(t)
	defer k.Close()
	stop := make(chan struct{})
	var starters sync.WaitGroup
	for range 4 {
		starters.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					_ = exec.Command("true").Run()
				}
			}
		})
	}
	defer starters.Wait()
	defer close(stop)
	for range 200 {
		assert.NilError(t, k.Refuse())
		assert.NilError(t, k.Accept())
	}
}
