package loopback

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// echo answers every byte with itself.
func echo(t *testing.T) string {
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
	return New(l, echo(t))
}

func dial(t *testing.T, k *Link) net.Conn {
	c, err := net.Dial("tcp", k.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// answered reports whether a byte comes back; none within the bound is silence.
func answered(t *testing.T, c net.Conn, bound time.Duration) bool {
	_, err := c.Write([]byte{1})
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(bound)))
	_, err = c.Read(make([]byte, 1))
	return err == nil
}

const (
	longEnough = 10 * time.Second
	shortly    = 100 * time.Millisecond
)

func TestLinkCutAndHeal(t *testing.T) {
	for _, cut := range [][2]bool{{true, true}, {true, false}, {false, true}} {
		k := newLink(t)
		defer k.Close()
		c := dial(t, k)
		assert.Assert(t, answered(t, c, longEnough))
		k.Cut(cut[0], cut[1])
		assert.Assert(t, !answered(t, c, shortly))
		assert.Assert(t, !answered(t, dial(t, k), shortly))
		k.Heal()
		assert.Assert(t, answered(t, dial(t, k), longEnough))
		assert.Assert(t, answered(t, c, longEnough)) // what was held comes after all
	}
}

func TestLinkSilenceSparesNewConnections(t *testing.T) {
	k := newLink(t)
	defer k.Close()
	c := dial(t, k)
	assert.Assert(t, answered(t, c, longEnough))
	assert.Equal(t, k.Silence(), 1)
	assert.Assert(t, !answered(t, c, shortly))
	assert.Assert(t, answered(t, dial(t, k), longEnough))
	assert.Assert(t, !answered(t, c, shortly))
}

func TestLinkResetAndDelay(t *testing.T) {
	k := newLink(t)
	defer k.Close()
	c := dial(t, k)
	assert.Assert(t, answered(t, c, longEnough))
	k.Delay(2 * shortly)
	assert.Assert(t, !answered(t, c, shortly))
	k.Delay(0)
	assert.Assert(t, answered(t, dial(t, k), longEnough))
	assert.Equal(t, k.Reset(), 2)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(longEnough)))
	_, err := io.ReadAll(c)
	assert.ErrorContains(t, err, "reset")
	assert.Assert(t, answered(t, dial(t, k), longEnough))
}
