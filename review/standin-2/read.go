package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// readers is how many reads of the configuration are under way at once.
	readers = 8
	// readsBefore is how many reads are made one after the other in a round before the first
	// freeze, and readingFor how long all readers read before the second one.
	readsBefore = 1000
	readingFor  = 40 * time.Millisecond
	// rolledAfter is the time from the begin of a round's first freeze to the planned stop of
	// the leader, rolledFor the time from its end to its next start, and settleTime how long
	// the group is left alone after that and between rounds.
	rolledAfter = 2500 * time.Millisecond
	rolledFor   = 700 * time.Millisecond
	settleTime  = 1500 * time.Millisecond
	catchUpTime = 4100 * time.Millisecond
	// readAfter is the time from the acknowledgement of a version to the judged reads, and
	// readAhead how long before the wake-up these are sent: callers wait for a second.
	readAfter = configPropagation + 300*time.Millisecond
	readAhead = 300 * time.Millisecond
	// maxRounds bounds the rounds of a case, and lastRound the time at which one may begin.
	maxRounds = 7
	lastRound = 85 * time.Second
)

// leader returns the control instance whose log says that it leads in the highest term, nil
// if there is none.
func (d *deployment) leader() *node {
	var best *node
	bestTerm := 0
	for _, n := range d.controls {
		data, err := os.ReadFile(filepath.Join(d.folder, n.name+".log"))
		if err != nil {
			continue
		}
		leads, term := false, 0
		for line := range splitLines(data) {
			if strings.Contains(line, "msg=started ") {
				leads = false
			}
			if !strings.Contains(line, "role in the replicated log changed") {
				continue
			}
			leads = strings.Contains(line, " role=leader ")
			_, after, _ := strings.Cut(line, " term=")
			_, _ = fmt.Sscanf(after, "%d", &term)
		}
		if leads && term > bestTerm {
			best, bestTerm = n, term
		}
	}
	return best
}

func (d *deployment) awaitLeader(ctx context.Context) (*node, error) {
	for ctx.Err() == nil {
		if l := d.leader(); l != nil {
			return l, nil
		}
		sleep(ctx, 100*time.Millisecond)
	}
	return nil, ctx.Err()
}

// read reads the configuration at a control instance and returns its version, zero if there
// was no answer.
func read(ctx context.Context, c *http.Client, at *node) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at.control.String()+names.Configuration, nil)
	if err != nil {
		return 0
	}
	response, err := c.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	var answer struct {
		Version int `json:"version"`
	}
	if err != nil || response.StatusCode != http.StatusOK || json.Unmarshal(body, &answer) != nil {
		return 0
	}
	return answer.Version
}

// staleRead freezes a follower while the leader is stopped and started by plan, and later
// freezes that leader while a configuration is accepted by the others. Reads that are sent
// to it shortly before it wakes must not be answered with the configuration of before.
func staleRead(ctx context.Context, r *record, folder string, trouble bool) (bool, error) {
	d, err := newDeployment(r, folder, shape{controls: 3, entries: 1, sides: 1})
	if err != nil {
		return false, err
	}
	defer d.stopAll()
	err = d.begin(ctx, d.sides...)
	if err != nil {
		return false, err
	}
	answered := 0
	for round := 1; round <= maxRounds && time.Since(r.began) < lastRound; round++ {
		r.add("round %d", round)
		stale, current, err := d.staleReadRound(ctx, trouble)
		if err != nil {
			return false, err
		}
		if stale {
			return true, nil
		}
		answered += current
		sleep(ctx, settleTime)
	}
	if answered == 0 {
		return false, fmt.Errorf("no read was answered")
	}
	return false, nil
}

// staleReadRound plays one round. It reports whether a read was answered with an older
// version than it may be, and how many were answered with the newest.
func (d *deployment) staleReadRound(ctx context.Context, trouble bool) (stale bool, current int, err error) {
	leader, err := d.awaitLeader(ctx)
	if err != nil {
		return false, 0, err
	}
	c := &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: readers}}
	for range readsBefore {
		read(ctx, c, leader)
	}
	follower := d.controls[0]
	if follower == leader {
		follower = d.controls[1]
	}
	if trouble {
		d.signal(follower, syscall.SIGSTOP)
	}
	sleep(ctx, rolledAfter)
	d.signal(leader, syscall.SIGTERM)
	<-leader.ended
	sleep(ctx, rolledFor)
	err = d.start(leader, false)
	if err != nil {
		return false, 0, err
	}
	sleep(ctx, settleTime)
	d.signal(follower, syscall.SIGCONT)
	// The follower counts as lost for catchUpS after it is back.
	sleep(ctx, catchUpTime)

	leader, err = d.awaitLeader(ctx)
	if err != nil {
		return false, 0, err
	}
	d.record.add("%s leads", leader.name)
	reading, stop := context.WithCancel(ctx)
	var loading sync.WaitGroup
	loading.Go(func() {
		atOnce(func() {
			for reading.Err() == nil {
				read(reading, c, leader)
			}
		})
	})
	sleep(ctx, readingFor)
	if trouble {
		d.signal(leader, syscall.SIGSTOP)
	}
	stop()
	loading.Wait()
	err = d.configure(ctx)
	if err != nil {
		return false, 0, err
	}
	sleep(ctx, readAfter)
	var lock sync.Mutex
	var reads sync.WaitGroup
	reads.Go(func() {
		atOnce(func() {
			sent := time.Since(d.record.began)
			version := read(ctx, c, leader)
			d.record.add("read sent at %.3f to %s, answer: version %d (0: none)", sent.Seconds(), leader.name, version)
			lock.Lock()
			defer lock.Unlock()
			switch {
			case version == d.version:
				current++
			case version != 0:
				d.record.add("CONFIG: version %d was read, though version %d was acknowledged over %v before", version, d.version, configPropagation)
				stale = true
			}
		})
	})
	sleep(ctx, readAhead)
	d.signal(leader, syscall.SIGCONT)
	reads.Wait()
	return stale, current, nil
}

// atOnce calls f in as many goroutines as there are readers.
func atOnce(f func()) {
	var all sync.WaitGroup
	for range readers {
		all.Go(f)
	}
	all.Wait()
}
