package dryrun

import (
	"context"
	"strings"
	"time"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/peer"

	"golang.org/x/sync/errgroup"
)

const (
	// callTimeout limits the call of one VM.
	callTimeout = 2 * time.Second
	// maxCalls bounds the VMs that are called at the same time.
	maxCalls = 32
)

// Receiver is the net/rpc receiver of an entry VM.
type Receiver struct {
	explain func(Query) (*Explanation, error)
}

// NewReceiver returns a receiver. explain returns an error for an invalid query only.
func NewReceiver(explain func(Query) (*Explanation, error)) *Receiver { return &Receiver{explain} }

// Explain implements Method.
func (r *Receiver) Explain(q Query, reply *Explanation) error {
	e, err := r.explain(q)
	if err != nil {
		return peer.EncodeError(err)
	}
	*reply = *e
	return nil
}

// VM is an entry VM that can be asked.
type VM struct{ Name, PeerAddress string }

// Caller calls peers by address.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Ask asks VMs and returns their answers in the same order.
func Ask(ctx context.Context, peers Caller, vms []VM, q Query) []Answer {
	answers := make([]Answer, len(vms))
	var g errgroup.Group
	g.SetLimit(maxCalls)
	for i, vm := range vms {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			var e Explanation
			answers[i] = Answer{VM: vm.Name, Explanation: &e}
			if err := peers.Call(ctx, vm.PeerAddress, Method, q, &e); err != nil {
				answers[i].Explanation, answers[i].Err = nil, callError(err)
			}
			return nil
		})
	}
	_ = g.Wait() // the functions return no errors
	return answers
}

// callError returns the error of a call with its meaning. net/rpc has no code for an unknown service.
func callError(err error) error {
	if strings.Contains(errkind.Of(err).Text, "rpc: can't find") {
		return errkind.New(errkind.Unsupported, "the VM's build does not support dry runs of routing")
	}
	return err
}
