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
	// maxFaultTime is the maximum time for which a process is frozen or down.
	maxFaultTime = 3 * time.Second
	// maxFaultInterval is the maximum time between the starts of two faults. Faults may
	// overlap.
	maxFaultInterval = 800 * time.Millisecond
	// diskRecoveryTime is how long an instance with a lost disk counts as lost after its
	// restart. Meanwhile it joins, catches up and becomes a voter.
	diskRecoveryTime = 6 * time.Second
	// maxLostDisks is the number of disk losses at a time that a group of five tolerates.
	maxLostDisks = 2
	// flowInterval is the pause between a caller's flows. It limits the load, so that CPU
	// time remains for the processes under test.
	flowInterval = 10 * time.Millisecond
	// shutdownTimeout is how long a process may take to end after a signal.
	shutdownTimeout = 6 * time.Second
)

// runWithFaults injects faults while the callers and operators generate load.
func (cl *cluster) runWithFaults(ctx context.Context, pool []*caller) {
	ctx, cancel := context.WithTimeout(ctx, cl.config.Duration)
	defer cancel()
	var working sync.WaitGroup
	for n, c := range pool {
		working.Go(func() {
			for ctx.Err() == nil {
				switch {
				case n%4 == 1:
					c.runFlow(ctx, routeAddress(serviceOf(n/4)), longFlowRequests)
				case n%4 == 2:
					c.runFlow(ctx, alternatingRoute, shortFlowRequests)
				default:
					c.runFlow(ctx, routeAddress(serviceOf(n)), shortFlowRequests)
				}
				time.Sleep(flowInterval)
			}
		})
	}
	working.Go(func() { newOperator(cl, evacuatorStream).evacuate(ctx) })
	working.Go(func() {
		for ctx.Err() == nil {
			cl.operator.replaceConfig(ctx)
			cl.operator.checkRead(ctx)
			time.Sleep(200 * time.Millisecond)
		}
	})
	var faults sync.WaitGroup
	for ctx.Err() == nil {
		if cl.config.PlannedOnly {
			cl.makePlannedChange(&faults)
		} else {
			cl.injectFault(&faults)
		}
		time.Sleep(time.Duration(cl.random.Int64N(int64(maxFaultInterval))))
	}
	faults.Wait()
	working.Wait()
}

// Random number streams of the operators.
const (
	replacerStream  = 99
	evacuatorStream = 98
)

// makePlannedChange makes one random planned change: it either restarts a process
// gracefully or drains an endpoint and then restarts it.
func (cl *cluster) makePlannedChange(pending *sync.WaitGroup) {
	cl.faults++
	e := cl.endpoints[cl.random.IntN(len(cl.endpoints))]
	all := cl.all()
	target := all[cl.random.IntN(len(all))]
	if cl.random.IntN(4) > 0 {
		pending.Go(func() { cl.restart(target, syscall.SIGTERM, plannedDowntime) })
		return
	}
	e.drain()
	pending.Go(func() {
		time.Sleep(2 * drainGracePeriod)
		e.restart()
	})
}

// plannedDowntime is how long a process is down in a planned restart.
const plannedDowntime = 300 * time.Millisecond

// injectFault injects one random fault. Every fault ends by itself, and pending is done
// once all faults have ended.
func (cl *cluster) injectFault(pending *sync.WaitGroup) {
	duration := time.Duration(cl.random.Int64N(int64(maxFaultTime)))
	all := cl.all()
	target := all[cl.random.IntN(len(all))]
	e := cl.endpoints[cl.random.IntN(len(cl.endpoints))]
	cl.faults++
	cl.lastFaultAt.Store(time.Now().UnixNano())
	switch cl.random.IntN(13) {
	case 0, 1:
		pending.Go(func() { cl.restart(target, syscall.SIGKILL, duration) })
	case 2:
		pending.Go(func() { cl.restart(target, syscall.SIGTERM, duration) })
	case 3:
		pending.Go(func() { cl.freeze(target, duration) })
	case 4:
		cl.loseDisk(pending, cl.controls[cl.random.IntN(controlCount)], duration)
	case 5:
		e.restart()
	case 6:
		e.drain()
		pending.Go(func() {
			time.Sleep(2*drainGracePeriod + duration)
			e.restart()
		})
	case 7:
		for _, i := range cl.controls {
			pending.Go(func() { cl.restart(i, syscall.SIGKILL, duration/4) })
		}
	case 8, 9:
		kind := cl.random.IntN(linkFaultKinds)
		pending.Go(func() { cl.injectLinkFault(target, kind, duration) })
	case 10:
		target.proxy.reset()
	case 11:
		i := cl.controls[cl.random.IntN(controlCount)]
		pending.Go(func() { cl.fillDisk(i, duration) })
	case 12:
		i, random := cl.controls[cl.random.IntN(controlCount)], rand.New(rand.NewPCG(cl.random.Uint64(), 1))
		pending.Go(func() { cl.tearLog(i, random, duration) })
	}
}

// linkFaultKinds is the number of cases in injectLinkFault.
const linkFaultKinds = 4

// Delay and loss of the packets that are sent to an instance.
const (
	linkDelay     = 60 * time.Millisecond
	linkLossOneIn = 5
)

// injectLinkFault injects a fault into the link to an instance for the duration.
func (cl *cluster) injectLinkFault(i *instance, kind int, duration time.Duration) {
	if !i.claim() {
		return
	}
	defer cl.release(i)
	p := i.proxy
	switch kind {
	case 0:
		p.isBlackholed.Store(true)
	case 1:
		p.isInboundBlocked.Store(true)
	case 2:
		p.delay.Store(int64(linkDelay))
	case 3:
		p.lossOneIn.Store(linkLossOneIn)
	}
	time.Sleep(duration)
	p.isBlackholed.Store(false)
	p.isInboundBlocked.Store(false)
	p.delay.Store(0)
	p.lossOneIn.Store(0)
}

// claim reserves an instance for a fault. It returns false if another fault of the
// instance is active.
func (i *instance) claim() bool { return i.isClaimed.CompareAndSwap(false, true) }

func (cl *cluster) release(i *instance) {
	now := time.Now().UnixNano()
	cl.lastFaultAt.Store(now)
	i.faultEndedAt.Store(now)
	i.isClaimed.Store(false)
}

// isStable reports whether the instance has no active or recent fault.
func (i *instance) isStable() bool {
	return !i.isClaimed.Load() && time.Since(time.Unix(0, i.faultEndedAt.Load())) > stabilizationTime
}

// checkRunning records a violation if the process has ended without a signal.
func (cl *cluster) checkRunning(i *instance) {
	select {
	case <-i.Done():
		cl.recordViolation("%s ended by itself with exit code %d; see %s", i.name, i.ExitCode(), i.LogPath())
	default:
	}
}

func (cl *cluster) restart(i *instance, signal syscall.Signal, downtime time.Duration) {
	if !i.claim() {
		return
	}
	defer cl.release(i)
	cl.checkRunning(i)
	cl.terminate(i, signal)
	time.Sleep(downtime)
	cl.startProcess(i)
}

func (cl *cluster) terminate(i *instance, signal syscall.Signal) {
	// Signal fails only if the process has ended, which checkRunning reports.
	_ = i.Signal(signal)
	select {
	case <-i.Done():
	case <-time.After(shutdownTimeout):
		cl.recordViolation("%s is still running %s after %s", i.name, shutdownTimeout, signal)
		_ = i.Kill()
	}
}

func (cl *cluster) startProcess(i *instance) {
	if err := i.Start(); err != nil {
		cl.recordViolation("starting %s: %v", i.name, err)
	}
}

func (cl *cluster) freeze(i *instance, duration time.Duration) {
	if !i.claim() {
		return
	}
	defer cl.release(i)
	cl.checkRunning(i)
	_ = i.Signal(syscall.SIGSTOP)
	time.Sleep(duration)
	_ = i.Signal(syscall.SIGCONT)
}

// loseDisk restarts a control instance with an empty data folder and without the right
// to found a group. It does nothing if the group would not tolerate another lost disk.
func (cl *cluster) loseDisk(pending *sync.WaitGroup, i *instance, downtime time.Duration) {
	lost := 0
	for _, other := range cl.controls {
		if time.Now().Before(other.lostUntil) || other.isClaimed.Load() {
			lost++
		}
	}
	if lost >= maxLostDisks || time.Now().Before(i.lostUntil) || !i.claim() {
		return
	}
	i.lostUntil = time.Now().Add(downtime + diskRecoveryTime)
	pending.Go(func() {
		defer cl.release(i)
		cl.terminate(i, syscall.SIGKILL)
		if err := os.RemoveAll(filepath.Join(cl.config.Folder, i.name+".data")); err != nil {
			cl.recordViolation("removing a data folder: %v", err)
		}
		if err := cl.disableFounding(i); err != nil {
			cl.recordViolation("disabling founding in the settings: %v", err)
		}
		time.Sleep(downtime)
		cl.startProcess(i)
	})
}

// disableFounding changes an instance's settings so that it may not found a group.
func (cl *cluster) disableFounding(i *instance) error {
	path := filepath.Join(cl.config.Folder, i.name+".ini")
	data, err := os.ReadFile(path)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(path, withFoundingDisabled(data), 0o600))
}

// checkAllRunning checks that every process is running.
func (cl *cluster) checkAllRunning() {
	for _, i := range cl.all() {
		cl.checkRunning(i)
	}
}
