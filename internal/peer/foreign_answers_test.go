package peer

import (
	"bufio"
	"context"
	"encoding/gob"
	"net"
	"net/rpc"
	"testing"
	"time"

	"eelgrasshollow/internal/errkind"

	"gotest.tools/v3/assert"
)

// A peer that writes an earlier refusal once more must not have later calls counted as refused: responses carry the number
// of their call, and others are dropped.
func TestEarlierRefusalIsNoAnswerToLaterCall(t *testing.T) {
	refusal := EncodeError(errkind.New(errkind.NotLeader, "not the leader")).Error()
	near, far := net.Pipe()
	go func() {
		buffer := bufio.NewWriter(far)
		in, out := gob.NewDecoder(far), gob.NewEncoder(buffer)
		refuse := func(number uint64) {
			_ = out.Encode(rpc.Response{ServiceMethod: "Echo.Say", Seq: number, Error: refusal})
			_ = out.Encode(struct{}{})
		}
		for {
			var request rpc.Request
			var text string
			if in.Decode(&request) != nil || in.Decode(&text) != nil {
				return
			}
			if request.Seq > 0 { // the first call's refusal, before and after the response
				refuse(0)
				_ = out.Encode(rpc.Response{ServiceMethod: request.ServiceMethod, Seq: request.Seq})
				_ = out.Encode(text)
			}
			refuse(0)
			_ = buffer.Flush()
		}
	}()
	p := NewPool(Options{PingInterval: time.Hour, Dial: func(context.Context, string) (net.Conn, error) { return near, nil }})
	defer p.Close()
	var out string
	err := p.Call(t.Context(), "a", "Echo.Say", "x", &out)
	assert.Assert(t, errkind.Is(err, errkind.NotLeader) && errkind.Of(err).Outcome == errkind.NotRun, "%v", err)
	for _, text := range []string{"a", "b", "c"} {
		assert.NilError(t, p.Call(t.Context(), "a", "Echo.Say", text, &out))
		assert.Equal(t, out, text)
	}
}
