package engine

import "eelgrasshollow/internal/membudget"

const (
	// maxResponseMemory bounds what is held of all responses if New is given no budget, in bytes.
	maxResponseMemory = 64 << 20
	// includedResponseMemory is the memory that each response has apart from the budget.
	includedResponseMemory = 64 << 10
)

// NewLease returns a lease for the response to a call.
func (c *Client) NewLease() *membudget.Lease { return c.memory.Lease(includedResponseMemory) }
