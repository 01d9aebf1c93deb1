package placement

import (
	"slices"
	"time"

	"zinniapulley.dev/core"
)

// service holds the table of one service and the state of its pending changes.
type service struct {
	id   core.ServiceID
	pool *chainPool
	// closedSince holds, for each candidate after the first core.Choices of a
	// chain, the revision from which it accepts no new flows of the bucket.
	closedSince map[candidateKey]core.Revision
	// moves is how many buckets may change now under the rate limit, as of movesAt.
	moves   int
	movesAt time.Time
	// balancing is set while rebalancing has buckets left to move.
	balancing bool
	// waiting is set while changes are deferred until nextMove.
	waiting  bool
	nextMove time.Time
	// heldBack is the number of buckets last reported as held back.
	heldBack int
}

// candidateKey identifies a backend server in the chain of one bucket.
type candidateKey struct {
	bucket uint32
	server core.BackendServerID
}

func newService(id core.ServiceID, buckets int) *service {
	return &service{id: id, pool: newChainPool(buckets), closedSince: make(map[candidateKey]core.Revision)}
}

// setChain sets the chain of a bucket and records the revision from which
// candidates that are no longer choices accept no new flows.
func (s *service) setChain(bucket uint32, chain core.Chain, revision core.Revision) {
	before := s.pool.chain(bucket)
	for position, id := range before {
		if position >= core.Choices && slices.Index(chain, id) < core.Choices {
			delete(s.closedSince, candidateKey{bucket, id})
		}
	}
	for position, id := range chain {
		if position >= core.Choices && slices.Index(before, id) < core.Choices {
			s.closedSince[candidateKey{bucket, id}] = revision
		}
	}
	s.pool.set(bucket, chain)
}

// refillMoves refills the token bucket of moves, which holds at most the moves
// of one second.
func (s *service) refillMoves(now time.Time, perSecond int) {
	if s.movesAt.IsZero() {
		s.movesAt = now
		s.moves = perSecond
		return
	}
	passed := now.Sub(s.movesAt)
	if passed <= 0 {
		return
	}
	if passed >= time.Second {
		s.moves = perSecond
		s.movesAt = now
		return
	}
	refilled := int(passed * time.Duration(perSecond) / time.Second)
	if refilled == 0 {
		return
	}
	s.moves += refilled
	s.movesAt = s.movesAt.Add(time.Duration(refilled) * time.Second / time.Duration(perSecond))
	if s.moves >= perSecond {
		s.moves = perSecond
		s.movesAt = now
	}
}
