package placement

import (
	"slices"
	"time"

	"zinniapulley.dev/core"
)

// service is the table of one service with what its changes depend on.
type service struct {
	id   core.ServiceID
	pool *chainPool
	// closedSince holds, for each candidate behind the choices of a chain, the
	// revision from which it takes no new flow of the bucket.
	closedSince map[place]core.Revision
	// moves is how many buckets may change at once, as of movesAt.
	moves   int
	movesAt time.Time
	// balancing is whether the last change left buckets to move for balance.
	balancing bool
	// waiting is whether changes wait until nextMove.
	waiting  bool
	nextMove time.Time
	// heldBack is the number of buckets last reported as held back.
	heldBack int
}

// place is one backend server in the chain of one bucket.
type place struct {
	bucket uint32
	server core.BackendServerID
}

func newService(id core.ServiceID, buckets int) *service {
	return &service{id: id, pool: newChainPool(buckets), closedSince: make(map[place]core.Revision)}
}

// setChain changes the chain of a bucket at a revision and notes from when on
// its members take no new flows.
func (s *service) setChain(bucket uint32, chain core.Chain, revision core.Revision) {
	before := s.pool.chain(bucket)
	for position, id := range before {
		if position >= core.Choices && slices.Index(chain, id) < core.Choices {
			delete(s.closedSince, place{bucket, id})
		}
	}
	for position, id := range chain {
		if position >= core.Choices && slices.Index(before, id) < core.Choices {
			s.closedSince[place{bucket, id}] = revision
		}
	}
	s.pool.set(bucket, chain)
}

// refillMoves adds the moves that have become free by now, to at most one
// second's worth.
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
	earned := int(passed * time.Duration(perSecond) / time.Second)
	if earned == 0 {
		return
	}
	s.moves += earned
	s.movesAt = s.movesAt.Add(time.Duration(earned) * time.Second / time.Duration(perSecond))
	if s.moves >= perSecond {
		s.moves = perSecond
		s.movesAt = now
	}
}
