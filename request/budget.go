package request

// budget allows retries as a share of recent requests, so that retries can
// never multiply the work of an overloaded service.
type budget struct {
	share float64
	burst float64
	saved float64
}

func newBudget(share, burst float64) budget {
	return budget{share: share, burst: burst, saved: burst}
}

// earn adds what one new request allows.
func (b *budget) earn() {
	b.saved = min(b.burst, b.saved+b.share)
}

// spend takes one retry from the budget, and returns false if there is none.
func (b *budget) spend() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
