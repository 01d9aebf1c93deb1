package soak

import (
	"context"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// faultPause is the longest pause between two faults. They overlap, since most
	// last longer.
	faultPause = 1200 * time.Millisecond
	// faultTime is the longest that a process is down or paused.
	faultTime = 2500 * time.Millisecond
)

// inject injects faults until ctx is done, and waits for those under way.
func inject(ctx context.Context, d *deployment, random *rand.Rand) {
	var under sync.WaitGroup
	defer under.Wait()
	// wiping bounds lost disks: one at a time, as the deployment bears.
	wiping := make(chan struct{}, 1)
	for ctx.Err() == nil {
		rest(ctx, random, faultPause)
		lasts := time.Duration(random.Int64N(int64(faultTime)))
		role := []string{roleControl, roleEntry, roleCompanion}[random.IntN(3)]
		p := d.pick(random, role)
		switch random.IntN(7) {
		case 0, 1:
			under.Go(func() { d.down(ctx, p, syscall.SIGKILL, lasts) })
		case 2:
			under.Go(func() { d.down(ctx, p, syscall.SIGTERM, lasts) })
		case 3:
			under.Go(func() { d.pause(ctx, p, lasts) })
		case 4:
			b := d.backends[random.IntN(len(d.backends))]
			under.Go(func() { d.restartBackend(b) })
		case 5:
			b := d.backends[random.IntN(len(d.backends))]
			under.Go(func() { d.drainBackend(ctx, b) })
		case 6:
			if role == roleControl {
				under.Go(func() { d.wipe(ctx, p, lasts, wiping) })
			} else {
				under.Go(func() { d.downAll(ctx, role, lasts) })
			}
		}
	}
}

func rest(ctx context.Context, random *rand.Rand, most time.Duration) {
	wait(ctx, time.Duration(random.Int64N(int64(most))))
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// down ends a process and starts it again.
func (d *deployment) down(ctx context.Context, p *process, s syscall.Signal, lasts time.Duration) {
	d.watch.fault("%s gets %v, down for %v", p.name, s, lasts)
	p.end(s)
	wait(ctx, lasts)
	d.startAgain(p)
}

func (d *deployment) startAgain(p *process) {
	err := d.start(p)
	if err != nil {
		d.watch.violation("%v", err)
	}
}

func (d *deployment) pause(ctx context.Context, p *process, lasts time.Duration) {
	d.watch.fault("%s is paused for %v", p.name, lasts)
	p.signal(syscall.SIGSTOP)
	wait(ctx, lasts)
	p.signal(syscall.SIGCONT)
}

// downAll ends all processes of a role at once.
func (d *deployment) downAll(ctx context.Context, role string, lasts time.Duration) {
	d.watch.fault("every %s is killed, down for %v", role, lasts)
	for _, p := range d.processes {
		if p.role == role {
			p.end(syscall.SIGKILL)
		}
	}
	wait(ctx, lasts)
	for _, p := range d.processes {
		if p.role == role {
			d.startAgain(p)
		}
	}
}

// wipeRest is how long after a lost disk the next one may be lost: what a machine
// that comes back may take to count again, and the time that others may be down.
const wipeRest = 8 * time.Second

// wipe ends a control process and empties its folder, unless a disk was lost lately.
func (d *deployment) wipe(ctx context.Context, p *process, lasts time.Duration, wiping chan struct{}) {
	select {
	case wiping <- struct{}{}:
	default:
		return
	}
	d.watch.fault("%s loses its disk, down for %v", p.name, lasts)
	p.end(syscall.SIGKILL)
	err := os.RemoveAll(p.data)
	if err != nil {
		d.watch.violation("folder of %s not removed: %v", p.name, err)
	}
	for _, other := range d.processes {
		d.later(other)
	}
	wait(ctx, lasts)
	d.startAgain(p)
	wait(ctx, wipeRest)
	<-wiping
}

// restartBackend has a backend server forget its flows and start again.
func (d *deployment) restartBackend(b *backend) {
	b.lock.Lock()
	defer b.lock.Unlock()
	d.watch.fault("%s starts again", b.server.Name)
	b.restart()
}

// restart must be called with the lock held.
func (b *backend) restart() {
	b.start++
	b.number, b.draining = 0, false
	b.drainedAt.Store(0)
	b.server.DropFlows()
}

// drainBackend has a backend server leave and start again later.
func (d *deployment) drainBackend(ctx context.Context, b *backend) {
	d.watch.fault("%s drains", b.server.Name)
	b.lock.Lock()
	b.draining = true
	b.lock.Unlock()
	wait(ctx, 2*faultTime)
	d.restartBackend(b)
}
