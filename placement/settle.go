package placement

import (
	"slices"
	"time"

	"zinniapulley.dev/core"
)

// reconciliation is one pass that moves the table of a service towards its quotas.
type reconciliation struct {
	placement *Placement
	service   *service
	revision  core.Revision
	// servers lists the eligible servers; quotas and owned have the same indices.
	servers []weightedServer
	quotas  []int
	owned   []int
	// deferred counts changes that wait for the rate limit, blocked those that
	// wait for room in a chain.
	deferred, blocked int
	decisions         []Decision
}

// reconcile changes the table of a service as far as the rate limit allows, the
// most urgent buckets first.
func (p *Placement) reconcile(now time.Time, revision core.Revision, s *service) []Decision {
	s.refillMoves(now, p.config.MovesPerSecond)
	servers := p.eligibleServers(now, s.id)
	r := &reconciliation{
		placement: p, service: s, revision: revision, servers: servers,
		quotas: apportion(servers, len(s.pool.buckets)),
		owned:  make([]int, len(servers)),
	}
	r.countOwned()
	if len(servers) > 0 {
		r.assignUnserved()
		r.replaceOwners()
		r.balance()
		r.refill()
	}
	r.finish(now)
	return r.decisions
}

func (r *reconciliation) countOwned() {
	perChain := make([]int, len(r.service.pool.chains))
	for _, chain := range r.service.pool.buckets {
		perChain[chain]++
	}
	for i, chain := range r.service.pool.chains {
		if len(chain) == 0 {
			continue
		}
		at := r.indexOf(chain[0])
		if at >= 0 {
			r.owned[at] += perChain[i]
		}
	}
}

// indexOf returns the index of an eligible backend server, or -1.
func (r *reconciliation) indexOf(id core.BackendServerID) int {
	at, found := slices.BinarySearchFunc(r.servers, id, func(s weightedServer, id core.BackendServerID) int {
		return int(int64(s.id) - int64(id))
	})
	if !found {
		return -1
	}
	return at
}

// deficit returns a server's quota minus the buckets that it owns.
func (r *reconciliation) deficit(at int) int {
	return r.quotas[at] - r.owned[at]
}

// assignUnserved assigns an owner to each bucket whose chain has no eligible
// backend server. The rate limit doesn't apply.
func (r *reconciliation) assignUnserved() {
	for bucket := range r.buckets() {
		if r.firstEligible(bucket) < 0 {
			r.replaceOwner(bucket)
		}
	}
}

// replaceOwners moves the buckets whose owner accepts no new flows.
func (r *reconciliation) replaceOwners() {
	for bucket := range r.buckets() {
		chain := r.service.pool.chain(bucket)
		if r.firstEligible(bucket) < 0 || r.indexOf(chain[0]) >= 0 {
			continue
		}
		if r.takeMove() {
			r.replaceOwner(bucket)
		}
	}
}

// replaceOwner moves one bucket to the first chain member below its quota, else
// to the server furthest below its quota, else, if there is none or the chain is
// full, to the first eligible chain member.
func (r *reconciliation) replaceOwner(bucket uint32) {
	chain := r.service.pool.chain(bucket)
	to := r.memberInDeficit(chain)
	if to < 0 {
		to = r.mostInDeficit()
	}
	if to < 0 || !r.fits(chain, r.servers[to].id) {
		to = r.firstEligible(bucket)
	}
	if to < 0 {
		r.blocked++
		return
	}
	r.move(bucket, to, r.ownerReason(chain))
}

func (r *reconciliation) ownerReason(chain core.Chain) Reason {
	if len(chain) == 0 {
		return ReasonNoOwner
	}
	return r.placement.ineligibleReason(r.placement.servers[chain[0]])
}

// balance moves buckets from servers above their quota to servers below it, once
// some server is beyond the tolerance. Moves within a chain come first because
// they don't lengthen it.
func (r *reconciliation) balance() {
	if !r.service.balancing && !r.beyondTolerance() {
		return
	}
	r.service.balancing = true
	r.moveSurplus(r.memberInDeficit)
	r.moveSurplus(func(core.Chain) int { return r.mostInDeficit() })
	r.service.balancing = r.mostInDeficit() >= 0 && r.deferred > 0
}

func (r *reconciliation) beyondTolerance() bool {
	for i, quota := range r.quotas {
		tolerance := max(1, quota*r.placement.config.TolerancePercent/100)
		if r.deficit(i) > tolerance || -r.deficit(i) > tolerance {
			return true
		}
	}
	return false
}

// moveSurplus moves buckets of owners above their quota to the server that pick
// returns for the chain.
func (r *reconciliation) moveSurplus(pick func(core.Chain) int) {
	for bucket := range r.buckets() {
		chain := r.service.pool.chain(bucket)
		if len(chain) == 0 {
			continue
		}
		owner := r.indexOf(chain[0])
		if owner < 0 || r.deficit(owner) >= 0 {
			continue
		}
		to := pick(chain)
		if to < 0 {
			continue
		}
		if !r.fits(chain, r.servers[to].id) {
			r.blocked++
			continue
		}
		if r.takeMove() {
			r.move(bucket, to, ReasonBalance)
		}
	}
}

// refill adds choices to chains that have too few, as far as there is room.
func (r *reconciliation) refill() {
	for bucket := range r.buckets() {
		chain := r.service.pool.chain(bucket)
		if len(chain) == 0 || r.indexOf(chain[0]) < 0 || !r.needsRefill(chain) {
			continue
		}
		if r.takeMove() {
			r.service.setChain(bucket, r.chainWithOwner(bucket, chain[0]), r.revision)
			r.record(Decision{Kind: KindRefilled, Reason: ReasonFewChoices, Bucket: bucket, To: chain[0]})
		}
	}
}

// needsRefill reports whether rebuilding the chain gives it more choices.
func (r *reconciliation) needsRefill(chain core.Chain) bool {
	eligible, remaining := 0, 0
	for _, id := range chain[:min(len(chain), core.Choices)] {
		if r.indexOf(id) >= 0 {
			eligible++
		}
	}
	for _, id := range chain {
		if !r.placement.removable(id) {
			remaining++
		}
	}
	return eligible < min(core.Choices, len(r.servers)) && remaining < core.MaxChain
}

// takeMove takes one move from the rate limit, or counts a deferred one.
func (r *reconciliation) takeMove() bool {
	if r.service.moves <= 0 {
		r.deferred++
		return false
	}
	r.service.moves--
	return true
}

// move assigns a bucket to a new owner, which must fit in the chain.
func (r *reconciliation) move(bucket uint32, to int, reason Reason) {
	chain := r.service.pool.chain(bucket)
	decision := Decision{Kind: KindAssigned, Reason: reason, Bucket: bucket, To: r.servers[to].id}
	if len(chain) > 0 {
		decision.Kind = KindMoved
		decision.From = chain[0]
		owner := r.indexOf(chain[0])
		if owner >= 0 {
			r.owned[owner]--
		}
	}
	r.owned[to]++
	r.service.setChain(bucket, r.chainWithOwner(bucket, r.servers[to].id), r.revision)
	r.record(decision)
}

// chainWithOwner returns a bucket's chain with the given owner: the owner, the
// other eligible members, new choices as far as there is room, and last the
// members that only keep existing flows.
func (r *reconciliation) chainWithOwner(bucket uint32, owner core.BackendServerID) core.Chain {
	chain := core.Chain{owner}
	var retained core.Chain
	for _, id := range r.service.pool.chain(bucket) {
		switch {
		case id == owner || r.placement.removable(id):
		case r.indexOf(id) >= 0:
			chain = append(chain, id)
		default:
			retained = append(retained, id)
		}
	}
	room := core.MaxChain - len(chain) - len(retained)
	if room > 0 && len(chain) < core.Choices {
		chain = addChoices(r.service.id, bucket, chain, r.servers, len(chain)+room)
	}
	return append(chain, retained...)
}

// fits reports whether a chain has room for an owner once its removable members
// are dropped.
func (r *reconciliation) fits(chain core.Chain, owner core.BackendServerID) bool {
	length := 0
	for _, id := range chain {
		if id == owner {
			return true
		}
		if !r.placement.removable(id) {
			length++
		}
	}
	return length < core.MaxChain
}

// firstEligible returns the index of the first eligible member of the bucket's
// chain, or -1.
func (r *reconciliation) firstEligible(bucket uint32) int {
	for _, id := range r.service.pool.chain(bucket) {
		at := r.indexOf(id)
		if at >= 0 {
			return at
		}
	}
	return -1
}

// memberInDeficit returns the index of the first chain member below its quota,
// or -1.
func (r *reconciliation) memberInDeficit(chain core.Chain) int {
	for _, id := range chain {
		at := r.indexOf(id)
		if at >= 0 && r.deficit(at) > 0 {
			return at
		}
	}
	return -1
}

// mostInDeficit returns the index of the server furthest below its quota, or -1.
func (r *reconciliation) mostInDeficit() int {
	best := -1
	for at := range r.servers {
		if r.deficit(at) > 0 && (best < 0 || r.deficit(at) > r.deficit(best)) {
			best = at
		}
	}
	return best
}

func (r *reconciliation) buckets() func(func(uint32) bool) {
	return func(yield func(uint32) bool) {
		for bucket := range r.service.pool.buckets {
			if !yield(uint32(bucket)) {
				return
			}
		}
	}
}

func (r *reconciliation) record(d Decision) {
	d.Service = r.service.id
	r.decisions = append(r.decisions, d)
}

// finish schedules deferred changes and records how many buckets are held back.
func (r *reconciliation) finish(now time.Time) {
	s := r.service
	if r.blocked != s.heldBack {
		s.heldBack = r.blocked
		if r.blocked > 0 {
			r.record(Decision{Kind: KindHeldBack, Reason: ReasonChainFull, Count: r.blocked})
		}
	}
	s.waiting = false
	nextStep, rampPending := r.placement.nextRampStep(now)
	if rampPending {
		s.waiting = true
		s.nextMove = nextStep
	}
	if r.deferred > 0 {
		nextRefill := now.Add(moveInterval)
		if !s.waiting || nextRefill.Before(s.nextMove) {
			s.nextMove = nextRefill
		}
		s.waiting = true
	}
}

// moveInterval is how long deferred changes wait, so that a batch of moves takes
// one revision.
const moveInterval = time.Second
