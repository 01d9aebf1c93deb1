package waitqueue

// pressureWeight is the weight of the last start in the shares of the priorities: about
// the last fifty starts count.
const pressureWeight = 0.02

// pressure measures which part of the starts each priority gets. Requests of a higher
// priority that are yet to come go before those that wait.
type pressure struct {
	shares map[int]float64
}

// started records a start.
func (p *pressure) started(priority int) {
	if p.shares == nil {
		p.shares = make(map[int]float64)
	}
	p.shares[priority] += 0
	for other, share := range p.shares {
		share -= pressureWeight * share
		if other == priority {
			share += pressureWeight
		}
		p.shares[other] = share
		if share < pressureWeight*pressureWeight {
			delete(p.shares, other)
		}
	}
}

// above returns the part of the starts that priorities above the given one get. It leaves
// the floor.
func (p *pressure) above(priority int) float64 {
	sum := 0.
	for other, share := range p.shares {
		if other < priority {
			sum += share
		}
	}
	return min(sum, 1-floorShare)
}

// waitShare returns the part of its objective that a request of the priority may be
// expected to wait when it joins the queue.
func (p *pressure) waitShare(priority int) float64 {
	share := maxWaitShare
	for other := range p.shares {
		if other < priority {
			return overtakenWaitShare
		}
		if other > priority {
			share = urgentWaitShare
		}
	}
	return share
}
