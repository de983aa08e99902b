package kernel

import (
	"context"
	"sync"
)

// Background is the Start and Stop of a module that runs one function from the one to
// the other. The module embeds it and sets Run when it is provisioned.
type Background struct {
	// Run works until ctx ends.
	Run func(ctx context.Context)

	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// Start implements Module. What runs does not end with ctx, which is that of starting.
func (b *Background) Start(ctx context.Context) error {
	ctx, b.cancel = context.WithCancel(context.WithoutCancel(ctx))
	b.wg.Go(func() { b.Run(ctx) })
	return nil
}

// Stop implements Module: it ends Run and waits for it.
func (b *Background) Stop(context.Context) error {
	if b.cancel != nil {
		b.cancel()
		b.wg.Wait()
	}
	return nil
}
