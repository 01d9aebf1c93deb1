package request

// budget limits retries to a share of recent requests, so that retries can
// never multiply the work of an overloaded service.
type budget struct {
	share  float64
	burst  float64
	tokens float64
}

func newBudget(share, burst float64) budget {
	return budget{share: share, burst: burst, tokens: burst}
}

// earn adds the share of a retry that one new request allows.
func (b *budget) earn() {
	b.tokens = min(b.burst, b.tokens+b.share)
}

// spend takes one retry from the budget and returns false if none is left.
func (b *budget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
