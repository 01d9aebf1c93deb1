package placement

import (
	"slices"
	"time"

	"zinniapulley.dev/core"
)

// settling is one pass over the table of a service towards what it should be.
type settling struct {
	placement *Placement
	service   *service
	revision  core.Revision
	// servers lists who may take new flows, with quotas and owned alike.
	servers []weightedServer
	quotas  []int
	owned   []int
	// wanted and blocked count changes that wait for moves or for chain room.
	wanted, blocked int
	decisions       []Decision
}

// settle changes the table of a service as far as the moves allow, the most
// urgent buckets first.
func (p *Placement) settle(now time.Time, revision core.Revision, s *service) []Decision {
	s.refillMoves(now, p.config.MovesPerSecond)
	servers := p.eligible(now, s.id)
	t := &settling{
		placement: p, service: s, revision: revision, servers: servers,
		quotas: apportion(servers, len(s.pool.buckets)),
		owned:  make([]int, len(servers)),
	}
	t.countOwned()
	if len(servers) > 0 {
		t.serveUnserved()
		t.replaceOwners()
		t.balance()
		t.refill()
	}
	t.finish(now)
	return t.decisions
}

func (t *settling) countOwned() {
	perChain := make([]int, len(t.service.pool.chains))
	for _, chain := range t.service.pool.buckets {
		perChain[chain]++
	}
	for i, chain := range t.service.pool.chains {
		if len(chain) == 0 {
			continue
		}
		at := t.find(chain[0])
		if at >= 0 {
			t.owned[at] += perChain[i]
		}
	}
}

// find returns the index of an eligible backend server, or -1.
func (t *settling) find(id core.BackendServerID) int {
	at, found := slices.BinarySearchFunc(t.servers, id, func(s weightedServer, id core.BackendServerID) int {
		return int(int64(s.id) - int64(id))
	})
	if !found {
		return -1
	}
	return at
}

// deficit returns how many buckets a server lacks; negative if it has too many.
func (t *settling) deficit(at int) int {
	return t.quotas[at] - t.owned[at]
}

// serveUnserved gives an owner to each bucket that nobody would serve. It needs
// no moves.
func (t *settling) serveUnserved() {
	for bucket := range t.buckets() {
		if t.firstEligible(bucket) < 0 {
			t.replaceOwner(bucket)
		}
	}
}

// replaceOwners moves the buckets whose owner takes no new flow.
func (t *settling) replaceOwners() {
	for bucket := range t.buckets() {
		chain := t.service.pool.chain(bucket)
		if t.firstEligible(bucket) < 0 || t.find(chain[0]) >= 0 {
			continue
		}
		if t.takeMove() {
			t.replaceOwner(bucket)
		}
	}
}

// replaceOwner moves one bucket to the choice that lacks buckets, else to the
// server that lacks the most, else, in a full chain, to its first choice.
func (t *settling) replaceOwner(bucket uint32) {
	chain := t.service.pool.chain(bucket)
	to := t.memberInDeficit(chain)
	if to < 0 {
		to = t.mostInDeficit()
	}
	if to < 0 || !t.fits(chain, t.servers[to].id) {
		to = t.firstEligible(bucket)
	}
	if to < 0 {
		t.blocked++
		return
	}
	t.move(bucket, to, t.ownerReason(chain))
}

func (t *settling) ownerReason(chain core.Chain) Reason {
	if len(chain) == 0 {
		return ReasonNoOwner
	}
	return t.placement.standing(t.placement.servers[chain[0]])
}

// balance moves buckets from servers with too many to servers with too few,
// once some server is beyond the tolerance. Moves within a chain come first, as
// they make no chain longer.
func (t *settling) balance() {
	if !t.service.balancing && !t.beyondTolerance() {
		return
	}
	t.service.balancing = true
	t.shift(t.memberInDeficit)
	t.shift(func(core.Chain) int { return t.mostInDeficit() })
	t.service.balancing = t.mostInDeficit() >= 0 && t.wanted > 0
}

func (t *settling) beyondTolerance() bool {
	for i, quota := range t.quotas {
		slack := max(1, quota*t.placement.config.TolerancePercent/100)
		if t.deficit(i) > slack || -t.deficit(i) > slack {
			return true
		}
	}
	return false
}

// shift moves buckets of owners that have too many to the server that pick
// returns for the chain.
func (t *settling) shift(pick func(core.Chain) int) {
	for bucket := range t.buckets() {
		chain := t.service.pool.chain(bucket)
		if len(chain) == 0 {
			continue
		}
		owner := t.find(chain[0])
		if owner < 0 || t.deficit(owner) >= 0 {
			continue
		}
		to := pick(chain)
		if to < 0 {
			continue
		}
		if !t.fits(chain, t.servers[to].id) {
			t.blocked++
			continue
		}
		if t.takeMove() {
			t.move(bucket, to, ReasonBalance)
		}
	}
}

// refill adds choices to chains that have too few, in the room there is.
func (t *settling) refill() {
	for bucket := range t.buckets() {
		chain := t.service.pool.chain(bucket)
		if len(chain) == 0 || t.find(chain[0]) < 0 || !t.needsRefill(chain) {
			continue
		}
		if t.takeMove() {
			t.service.setChain(bucket, t.arrange(bucket, chain[0]), t.revision)
			t.decide(Decision{Kind: KindRefilled, Reason: ReasonFewChoices, Bucket: bucket, To: chain[0]})
		}
	}
}

// needsRefill reports whether arranging the chain anew gives it more choices.
func (t *settling) needsRefill(chain core.Chain) bool {
	eligible, staying := 0, 0
	for _, id := range chain[:min(len(chain), core.Choices)] {
		if t.find(id) >= 0 {
			eligible++
		}
	}
	for _, id := range chain {
		if !t.placement.gone(id) {
			staying++
		}
	}
	return eligible < min(core.Choices, len(t.servers)) && staying < core.MaxChain
}

// takeMove takes one move, or counts that one was wanted.
func (t *settling) takeMove() bool {
	if t.service.moves <= 0 {
		t.wanted++
		return false
	}
	t.service.moves--
	return true
}

// move gives a bucket a new owner, which must fit.
func (t *settling) move(bucket uint32, to int, reason Reason) {
	chain := t.service.pool.chain(bucket)
	decision := Decision{Kind: KindAssigned, Reason: reason, Bucket: bucket, To: t.servers[to].id}
	if len(chain) > 0 {
		decision.Kind = KindMoved
		decision.From = chain[0]
		owner := t.find(chain[0])
		if owner >= 0 {
			t.owned[owner]--
		}
	}
	t.owned[to]++
	t.service.setChain(bucket, t.arrange(bucket, t.servers[to].id), t.revision)
	t.decide(decision)
}

// arrange returns the chain of a bucket under an owner: the owner, the other
// members that may take new flows, new choices as far as there is room, and
// behind them the members that only keep their flows.
func (t *settling) arrange(bucket uint32, owner core.BackendServerID) core.Chain {
	chain := core.Chain{owner}
	var keeping core.Chain
	for _, id := range t.service.pool.chain(bucket) {
		switch {
		case id == owner || t.placement.gone(id):
		case t.find(id) >= 0:
			chain = append(chain, id)
		default:
			keeping = append(keeping, id)
		}
	}
	room := core.MaxChain - len(chain) - len(keeping)
	if room > 0 && len(chain) < core.Choices {
		chain = topUp(t.service.id, bucket, chain, t.servers, len(chain)+room)
	}
	return append(chain, keeping...)
}

// fits reports whether a chain has room for an owner, after those that are gone
// have left it.
func (t *settling) fits(chain core.Chain, owner core.BackendServerID) bool {
	length := 0
	for _, id := range chain {
		if id == owner {
			return true
		}
		if !t.placement.gone(id) {
			length++
		}
	}
	return length < core.MaxChain
}

// firstEligible returns the first member of the bucket's chain that may take
// new flows, or -1.
func (t *settling) firstEligible(bucket uint32) int {
	for _, id := range t.service.pool.chain(bucket) {
		at := t.find(id)
		if at >= 0 {
			return at
		}
	}
	return -1
}

// memberInDeficit returns the first member of the chain that lacks buckets, or
// -1.
func (t *settling) memberInDeficit(chain core.Chain) int {
	for _, id := range chain {
		at := t.find(id)
		if at >= 0 && t.deficit(at) > 0 {
			return at
		}
	}
	return -1
}

// mostInDeficit returns the server that lacks the most buckets, or -1.
func (t *settling) mostInDeficit() int {
	best := -1
	for at := range t.servers {
		if t.deficit(at) > 0 && (best < 0 || t.deficit(at) > t.deficit(best)) {
			best = at
		}
	}
	return best
}

func (t *settling) buckets() func(func(uint32) bool) {
	return func(yield func(uint32) bool) {
		for bucket := range t.service.pool.buckets {
			if !yield(uint32(bucket)) {
				return
			}
		}
	}
}

func (t *settling) decide(d Decision) {
	d.Service = t.service.id
	t.decisions = append(t.decisions, d)
}

// finish notes when the rest is due and what was held back.
func (t *settling) finish(now time.Time) {
	s := t.service
	if t.blocked != s.heldBack {
		s.heldBack = t.blocked
		if t.blocked > 0 {
			t.decide(Decision{Kind: KindHeldBack, Reason: ReasonChainFull, Count: t.blocked})
		}
	}
	s.waiting = false
	ramp, ramping := t.placement.nextRampStep(now)
	if ramping {
		s.waiting = true
		s.nextMove = ramp
	}
	if t.wanted > 0 {
		second := now.Add(moveInterval)
		if !s.waiting || second.Before(s.nextMove) {
			s.nextMove = second
		}
		s.waiting = true
	}
}

// moveInterval is how long changes wait for further moves. A batch then costs
// one revision.
const moveInterval = time.Second
