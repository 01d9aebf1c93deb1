package placement

import (
	"slices"
	"time"

	"zinniapulley.dev/core"
)

// bucketsEmpty removes a backend server from the chains of buckets in which it
// has no flows left. A bucket is skipped unless the backend server accepts no new
// flows for it from the report's revision on.
func (p *Placement) bucketsEmpty(now time.Time, revision core.Revision, e BucketsEmpty) []Decision {
	reporter, known := p.servers[e.Server]
	if !known {
		return nil
	}
	s, known := p.services[reporter.Service]
	if !known {
		return nil
	}
	var decisions []Decision
	for _, bucket := range e.Buckets {
		if !p.releasable(s, reporter, bucket, e.Revision) {
			continue
		}
		chain := slices.Clone(s.pool.chain(bucket))
		at := slices.Index(chain, e.Server)
		s.setChain(bucket, slices.Delete(chain, at, at+1), revision)
		delete(s.closedSince, candidateKey{bucket, e.Server})
		decisions = append(decisions, Decision{
			Kind: KindReleased, Reason: ReasonNoFlows, Service: s.id, Bucket: bucket, From: e.Server,
		})
	}
	if len(decisions) == 0 {
		return nil
	}
	return append(decisions, p.reconcile(now, revision, s)...)
}

// releasable reports whether a backend server may leave the chain of a bucket
// that it reported empty.
func (p *Placement) releasable(s *service, reporter *server, bucket uint32, reportedAt core.Revision) bool {
	if int(bucket) >= len(s.pool.buckets) {
		return false
	}
	at := slices.Index(s.pool.chain(bucket), reporter.ID)
	if at < 0 {
		return false
	}
	if !reporter.eligible && reportedAt >= reporter.barredSince {
		return true
	}
	since, closed := s.closedSince[candidateKey{bucket, reporter.ID}]
	return at >= core.Choices && closed && reportedAt >= since
}
