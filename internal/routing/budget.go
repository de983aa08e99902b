package routing

// budget bounds second tries by a share of the first ones.
type budget struct {
	share, burst, left float64
}

func (b *budget) earn() { b.left = min(b.left+b.share, b.burst) }

func (b *budget) spend() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
