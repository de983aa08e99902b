package kernel

import (
	"context"
	"sync"
)

// Background implements Start and Stop for a module that runs one function in the background.
// The module embeds Background and sets Run in Provision.
type Background struct {
	// Run is called by Start in a goroutine and must return once ctx is canceled.
	Run func(ctx context.Context)

	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// Start implements Module. Run does not end with ctx, which bounds only the start.
func (b *Background) Start(ctx context.Context) error {
	ctx, b.cancel = context.WithCancel(context.WithoutCancel(ctx))
	b.wg.Go(func() { b.Run(ctx) })
	return nil
}

// Stop implements Module. It cancels the context of Run and waits until Run has returned.
func (b *Background) Stop(context.Context) error {
	if b.cancel != nil {
		b.cancel()
		b.wg.Wait()
	}
	return nil
}
