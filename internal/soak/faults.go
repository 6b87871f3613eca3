package soak

import (
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	// maxPause bounds how long a process is paused or down.
	maxPause = 3 * time.Second
	// maxGap bounds the time between faults, which overlap.
	maxGap = 800 * time.Millisecond
	// repairTime is how long an instance whose disk was lost counts as lost: it
	// joins, catches up and becomes a voter.
	repairTime = 6 * time.Second
	// maxLost is how many disks a group of five bears to lose at a time.
	maxLost = 2
	// callerPause separates a caller's flows, so that the load leaves the machine
	// to the processes.
	callerPause = 10 * time.Millisecond
	// graceTime is how long a process has after SIGTERM.
	graceTime = 6 * time.Second
)

// play injects faults while callers and the operator go on.
func (w *world) play(ctx context.Context, pool []*caller) {
	ctx, cancel := context.WithTimeout(ctx, w.config.Duration)
	defer cancel()
	var working sync.WaitGroup
	for n, c := range pool {
		working.Go(func() {
			for ctx.Err() == nil {
				switch {
				case n%4 == 1:
					c.serve(ctx, routeOf(serviceOf(n/4)), longFlow)
				case n%4 == 2:
					c.serve(ctx, turningRoute, shortFlow)
				default:
					c.serve(ctx, routeOf(serviceOf(n)), shortFlow)
				}
				time.Sleep(callerPause)
			}
		})
	}
	working.Go(func() { newOperator(w, evacuator).evacuate(ctx) })
	working.Go(func() {
		for ctx.Err() == nil {
			w.operator.replace(ctx)
			w.operator.checkRead(ctx)
			time.Sleep(200 * time.Millisecond)
		}
	})
	var faults sync.WaitGroup
	for ctx.Err() == nil {
		if w.config.PlannedOnly {
			w.change(&faults)
		} else {
			w.inject(&faults)
		}
		time.Sleep(time.Duration(w.random.Int64N(int64(maxGap))))
	}
	faults.Wait()
	working.Wait()
}

// Streams of randomness of the operators.
const (
	replacer  = 99
	evacuator = 98
)

// change draws one planned change: a process that stops and starts again, an
// endpoint that drains and ends.
func (w *world) change(undoing *sync.WaitGroup) {
	w.faults++
	s := w.sites[w.random.IntN(len(w.sites))]
	all := w.all()
	target := all[w.random.IntN(len(all))]
	if w.random.IntN(4) > 0 {
		undoing.Go(func() { w.restart(target, syscall.SIGTERM, plannedDown) })
		return
	}
	s.drain()
	undoing.Go(func() {
		time.Sleep(2 * drainTime)
		s.restart()
	})
}

// plannedDown is how long a process is away that was stopped by plan.
const plannedDown = 300 * time.Millisecond

// inject draws one fault. Each is undone by itself.
func (w *world) inject(undoing *sync.WaitGroup) {
	length := time.Duration(w.random.Int64N(int64(maxPause)))
	all := w.all()
	target := all[w.random.IntN(len(all))]
	s := w.sites[w.random.IntN(len(w.sites))]
	w.faults++
	w.disturbedAt.Store(time.Now().UnixNano())
	switch w.random.IntN(13) {
	case 0, 1:
		undoing.Go(func() { w.restart(target, syscall.SIGKILL, length) })
	case 2:
		undoing.Go(func() { w.restart(target, syscall.SIGTERM, length) })
	case 3:
		undoing.Go(func() { w.pause(target, length) })
	case 4:
		w.loseDisk(undoing, w.controls[w.random.IntN(controls)], length)
	case 5:
		s.restart()
	case 6:
		s.drain()
		undoing.Go(func() {
			time.Sleep(2*drainTime + length)
			s.restart()
		})
	case 7:
		for _, i := range w.controls {
			undoing.Go(func() { w.restart(i, syscall.SIGKILL, length/4) })
		}
	case 8, 9:
		kind := w.random.IntN(linkFaults)
		undoing.Go(func() { w.harmLink(target, kind, length) })
	case 10:
		target.proxy.reset()
	case 11:
		i := w.controls[w.random.IntN(controls)]
		undoing.Go(func() { w.fillDisk(i, length) })
	case 12:
		i, random := w.controls[w.random.IntN(controls)], rand.New(rand.NewPCG(w.random.Uint64(), 1))
		undoing.Go(func() { w.tearLog(i, random, length) })
	}
}

// linkFaults is how many kinds of harm there are to a link.
const linkFaults = 4

// Harm to what an instance is sent.
const (
	linkDelay     = 60 * time.Millisecond
	linkLossOneIn = 5
)

// harmLink harms the way to an instance for a while.
func (w *world) harmLink(i *instance, kind int, length time.Duration) {
	if !i.claim() {
		return
	}
	defer w.release(i)
	p := i.proxy
	switch kind {
	case 0:
		p.isSilent.Store(true)
	case 1:
		p.isDeaf.Store(true)
	case 2:
		p.delay.Store(int64(linkDelay))
	case 3:
		p.lossOneIn.Store(linkLossOneIn)
	}
	time.Sleep(length)
	p.isSilent.Store(false)
	p.isDeaf.Store(false)
	p.delay.Store(0)
	p.lossOneIn.Store(0)
}

// claim takes an instance out for a fault; one fault at a time.
func (i *instance) claim() bool { return i.isStopped.CompareAndSwap(false, true) }

func (w *world) release(i *instance) {
	now := time.Now().UnixNano()
	w.disturbedAt.Store(now)
	i.disturbedAt.Store(now)
	i.isStopped.Store(false)
}

// isCalm reports whether the instance has not been disturbed lately.
func (i *instance) isCalm() bool {
	return !i.isStopped.Load() && time.Since(time.Unix(0, i.disturbedAt.Load())) > calmTime
}

// checkRunning finds processes that have ended by themselves.
func (w *world) checkRunning(i *instance) {
	select {
	case <-i.Done():
		w.violate("%s ended by itself with exit code %d; see %s", i.name, i.ExitCode(), i.LogPath())
	default:
	}
}

func (w *world) restart(i *instance, signal syscall.Signal, down time.Duration) {
	if !i.claim() {
		return
	}
	defer w.release(i)
	w.checkRunning(i)
	w.end(i, signal)
	time.Sleep(down)
	w.startAgain(i)
}

func (w *world) end(i *instance, signal syscall.Signal) {
	// A process that has ended already has been reported.
	_ = i.Signal(signal)
	select {
	case <-i.Done():
	case <-time.After(graceTime):
		w.violate("%s is still there %s after %s", i.name, graceTime, signal)
		_ = i.Kill()
	}
}

func (w *world) startAgain(i *instance) {
	if err := i.Start(); err != nil {
		w.violate("%s does not start: %v", i.name, err)
	}
}

func (w *world) pause(i *instance, length time.Duration) {
	if !i.claim() {
		return
	}
	defer w.release(i)
	w.checkRunning(i)
	_ = i.Signal(syscall.SIGSTOP)
	time.Sleep(length)
	_ = i.Signal(syscall.SIGCONT)
}

// loseDisk restarts a control instance with an empty data folder, which may
// found nothing, unless as many disks are lost as the group bears.
func (w *world) loseDisk(undoing *sync.WaitGroup, i *instance, down time.Duration) {
	lost := 0
	for _, other := range w.controls {
		if time.Now().Before(other.lostUntil) || other.isStopped.Load() {
			lost++
		}
	}
	if lost >= maxLost || time.Now().Before(i.lostUntil) || !i.claim() {
		return
	}
	i.lostUntil = time.Now().Add(down + repairTime)
	undoing.Go(func() {
		defer w.release(i)
		w.end(i, syscall.SIGKILL)
		if err := os.RemoveAll(filepath.Join(w.config.Folder, i.name+".data")); err != nil {
			w.violate("data folder: %v", err)
		}
		if err := w.forbidFounding(i); err != nil {
			w.violate("settings: %v", err)
		}
		time.Sleep(down)
		w.startAgain(i)
	})
}

// forbidFounding takes the right to found a group out of an instance's settings.
func (w *world) forbidFounding(i *instance) error {
	path := filepath.Join(w.config.Folder, i.name+".ini")
	data, err := os.ReadFile(path)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(path, replaceFounding(data), 0o600))
}

// checkAllRunning checks that every process is there.
func (w *world) checkAllRunning() {
	for _, i := range w.all() {
		w.checkRunning(i)
	}
}
