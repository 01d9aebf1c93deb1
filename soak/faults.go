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
	// maxFaultPause is the longest pause between two faults. Most faults last longer,
	// so that they overlap.
	maxFaultPause = 1200 * time.Millisecond
	// maxOutage is the longest time that a process is down or paused.
	maxOutage = 2500 * time.Millisecond
)

// inject injects faults until ctx is done and waits for the active ones to end.
func inject(ctx context.Context, d *deployment, random *rand.Rand) {
	var active sync.WaitGroup
	defer active.Wait()
	// wiping admits one disk loss at a time: the deployment tolerates no more.
	wiping := make(chan struct{}, 1)
	for ctx.Err() == nil {
		randomPause(ctx, random, maxFaultPause)
		duration := time.Duration(random.Int64N(int64(maxOutage)))
		role := []string{roleControl, roleEntry, roleCompanion}[random.IntN(3)]
		p := d.pick(random, role)
		switch random.IntN(7) {
		case 0, 1:
			active.Go(func() { d.restartProcess(ctx, p, syscall.SIGKILL, duration) })
		case 2:
			active.Go(func() { d.restartProcess(ctx, p, syscall.SIGTERM, duration) })
		case 3:
			active.Go(func() { d.pause(ctx, p, duration) })
		case 4:
			b := d.backends[random.IntN(len(d.backends))]
			active.Go(func() { d.restartBackend(b) })
		case 5:
			b := d.backends[random.IntN(len(d.backends))]
			active.Go(func() { d.drainBackend(ctx, b) })
		case 6:
			if role == roleControl {
				active.Go(func() { d.wipe(ctx, p, duration, wiping) })
			} else {
				active.Go(func() { d.restartRole(ctx, role, duration) })
			}
		}
	}
}

func randomPause(ctx context.Context, random *rand.Rand, maximum time.Duration) {
	sleep(ctx, time.Duration(random.Int64N(int64(maximum))))
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// restartProcess stops a process by a signal and starts it again after duration.
func (d *deployment) restartProcess(ctx context.Context, p *process, s syscall.Signal, duration time.Duration) {
	d.recorder.fault("%s is sent %v and is down for %v", p.name, s, duration)
	p.stop(s)
	sleep(ctx, duration)
	d.startAgain(p)
}

func (d *deployment) startAgain(p *process) {
	err := d.start(p)
	if err != nil {
		d.recorder.violation("%v", err)
	}
}

func (d *deployment) pause(ctx context.Context, p *process, duration time.Duration) {
	d.recorder.fault("%s is paused for %v", p.name, duration)
	p.signal(syscall.SIGSTOP)
	sleep(ctx, duration)
	p.signal(syscall.SIGCONT)
}

// restartRole kills all processes of a role and starts them again after duration.
func (d *deployment) restartRole(ctx context.Context, role string, duration time.Duration) {
	d.recorder.fault("every %s is killed and is down for %v", role, duration)
	for _, p := range d.processes {
		if p.role == role {
			p.stop(syscall.SIGKILL)
		}
	}
	sleep(ctx, duration)
	for _, p := range d.processes {
		if p.role == role {
			d.startAgain(p)
		}
	}
}

// wipeInterval is the least time between two disk losses. It covers the time until
// the restarted instance votes again and the time that other processes may be down.
const wipeInterval = 8 * time.Second

// wipe kills a control process, deletes its data folder and starts it again. It does
// nothing within wipeInterval of the previous disk loss, and nothing after one that ctx
// has cut short.
func (d *deployment) wipe(ctx context.Context, p *process, duration time.Duration, wiping chan struct{}) {
	select {
	case wiping <- struct{}{}:
	default:
		return
	}
	d.recorder.fault("%s loses its disk and is down for %v", p.name, duration)
	p.stop(syscall.SIGKILL)
	err := os.RemoveAll(p.data)
	if err != nil {
		d.recorder.violation("folder of %s not removed: %v", p.name, err)
	}
	for _, other := range d.processes {
		d.markRestarted(other)
	}
	sleep(ctx, duration)
	d.startAgain(p)
	sleep(ctx, wipeInterval)
	if ctx.Err() == nil {
		<-wiping
	}
}

// restartBackend restarts a backend server, which loses its flows.
func (d *deployment) restartBackend(b *backend) {
	b.lock.Lock()
	defer b.lock.Unlock()
	d.recorder.fault("%s restarts", b.server.Name)
	b.restart()
}

// restart must be called with the lock held.
func (b *backend) restart() {
	b.start++
	b.number, b.draining = 0, false
	b.drainedAt.Store(0)
	b.server.DropFlows()
}

// drainBackend drains a backend server and restarts it later.
func (d *deployment) drainBackend(ctx context.Context, b *backend) {
	d.recorder.fault("%s drains", b.server.Name)
	b.lock.Lock()
	b.draining = true
	b.lock.Unlock()
	sleep(ctx, 2*maxOutage)
	d.restartBackend(b)
}
