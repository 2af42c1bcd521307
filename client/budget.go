package client

import "sync"

// budget is a token bucket for retries: first attempts fill it, retries take from it.
type budget struct {
	mu     sync.Mutex
	tokens float64
	share  float64 // tokens that a first attempt adds
	limit  float64
}

// budgetLimitFactor is the bucket's capacity as a multiple of the reserve.
const budgetLimitFactor = 10

func newBudget(pct, reserve int) *budget {
	return &budget{tokens: float64(reserve), share: float64(pct) / 100, limit: float64(reserve * budgetLimitFactor)}
}

func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, b.limit)
}

func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
