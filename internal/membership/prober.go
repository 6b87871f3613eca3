package membership

import (
	"cmp"
	"slices"
	"time"

	"sassafrasturn.example/internal/wire"
)

const (
	// TickInterval is the interval at which Tick must be called.
	TickInterval = 250 * time.Millisecond
	// probeInterval is the time between two probes of a member that answers.
	probeInterval = time.Second
	// answerTimeout is how long an answer may take before the member is probed at
	// every tick, so that a few lost datagrams do not cause a suspicion.
	answerTimeout = 500 * time.Millisecond
	// suspectAfter is the time without an answer after which a member is suspected.
	suspectAfter = 2500 * time.Millisecond
	// handoverOverlap is how long a member is still probed after other watchers were
	// chosen for it, which need suspectAfter for their own result.
	handoverOverlap = 2 * suspectAfter
	// contactTimeout is how long a watcher that receives nothing is still considered
	// connected.
	contactTimeout = 1500 * time.Millisecond
	// maxTickGap is the longest time between two ticks of a running watcher. After a
	// longer gap it is considered to have been frozen.
	maxTickGap = time.Second
)

// targetState is a probed member with the results of its probes.
type targetState struct {
	Target
	answeredAt time.Time
	probedAt   time.Time
	isSuspect  bool
	// hasResult is true once the member has answered or has been suspected.
	hasResult bool
	// releasedAt is when the member was handed over to other watchers, or zero while
	// this one is responsible for it.
	releasedAt time.Time
	// outstanding holds the sequence numbers of the last probes, which may still be
	// answered.
	outstanding [maxOutstandingProbes]uint64
}

// maxOutstandingProbes is how many probes of a member may wait for an answer.
const maxOutstandingProbes = 4

// Prober is the failure detector of a watcher. It decides when to probe which member and
// which members to suspect. It does no I/O.
type Prober struct {
	zone     string
	targets  map[Member]*targetState
	pending  map[uint64]*targetState
	sequence uint64
	tickedAt time.Time
	// lastAnswer is when the last answer of any member arrived.
	lastAnswer time.Time
	// isSuspended is true while the watcher itself is frozen or isolated, so that missing
	// answers are no evidence of failed members.
	isSuspended bool
}

// Probe is a probe to send to the envelope address Address.
type Probe struct {
	Address  string
	Sequence uint64
}

// NewProber returns a prober without targets for a watcher in a zone. Its first probe has
// the number after sequence.
func NewProber(zone string, sequence uint64) *Prober {
	return &Prober{zone: zone, targets: make(map[Member]*targetState), pending: make(map[uint64]*targetState), sequence: sequence}
}

// SetTargets sets the members to probe. Those that are no longer among them are probed
// for handoverOverlap longer.
func (p *Prober) SetTargets(now time.Time, targets []Target) {
	next := make(map[Member]*targetState, len(targets))
	for _, target := range targets {
		state := p.targets[target.Member]
		if state == nil || state.Major != target.Major || state.Address != target.Address {
			state = &targetState{answeredAt: now}
		}
		state.Target, state.releasedAt = target, time.Time{}
		next[target.Member] = state
	}
	for member, state := range p.targets {
		if next[member] == nil {
			if state.releasedAt.IsZero() {
				state.releasedAt = now
			}
			next[member] = state
		}
	}
	p.targets = next
	clear(p.pending)
	for _, target := range next {
		for _, sequence := range target.outstanding {
			p.pending[sequence] = target
		}
	}
}

// HandleAnswer handles the answer to a probe. An answer of another incarnation comes from
// a process that has taken over the address, and does not count as an answer of the member.
func (p *Prober) HandleAnswer(now time.Time, sequence, incarnation uint64) {
	target := p.pending[sequence]
	if target == nil {
		return
	}
	p.lastAnswer = now
	if incarnation == target.Major {
		target.answeredAt = now
		target.hasResult = true
	}
}

// Tick returns the probes to send now and whether the verdict has changed.
// lastReceived is when anything other than an answer was last received from a peer.
func (p *Prober) Tick(now, lastReceived time.Time) (probes []Probe, hasChanged bool) {
	hasChanged = p.release(now)
	if p.canJudge(now, lastReceived) {
		hasChanged = p.updateSuspects(now) || hasChanged
	}
	p.tickedAt = now
	for _, target := range p.targets {
		if p.isDue(now, target) {
			probes = append(probes, p.probe(now, target))
		}
	}
	return probes, hasChanged
}

// release deletes members that were handed over more than handoverOverlap ago.
func (p *Prober) release(now time.Time) (hasChanged bool) {
	for member, target := range p.targets {
		if !target.releasedAt.IsZero() && now.Sub(target.releasedAt) > handoverOverlap {
			delete(p.targets, member)
			hasChanged = hasChanged || target.isSuspect
		}
	}
	return hasChanged
}

// canJudge reports whether missing answers are a sign of failed members and not of a
// frozen or isolated watcher. After the watcher was frozen or isolated, suspectAfter
// starts again for the members that are not suspected.
func (p *Prober) canJudge(now, lastReceived time.Time) bool {
	if lastReceived.Before(p.lastAnswer) {
		lastReceived = p.lastAnswer
	}
	isFrozen := !p.tickedAt.IsZero() && now.Sub(p.tickedAt) > maxTickGap
	isIsolated := now.Sub(lastReceived) > contactTimeout
	if isFrozen || isIsolated {
		p.isSuspended = true
		return false
	}
	if p.isSuspended {
		p.isSuspended = false
		for _, target := range p.targets {
			target.answeredAt = restartUnlessSuspect(target.answeredAt, now, target.isSuspect)
		}
	}
	return true
}

// restartUnlessSuspect returns the time from which suspectAfter is measured. For a
// suspect it remains unchanged, since a suspect has to answer first.
func restartUnlessSuspect(answeredAt, now time.Time, isSuspect bool) time.Time {
	if isSuspect {
		return answeredAt
	}
	return now
}

func (p *Prober) updateSuspects(now time.Time) (hasChanged bool) {
	for _, target := range p.targets {
		isSuspect := now.Sub(target.answeredAt) > suspectAfter
		if isSuspect != target.isSuspect {
			target.isSuspect = isSuspect
			target.hasResult = true
			hasChanged = true
		}
	}
	return hasChanged
}

func (p *Prober) isDue(now time.Time, target *targetState) bool {
	sinceProbe := now.Sub(target.probedAt)
	if sinceProbe >= probeInterval {
		return true
	}
	isOverdue := target.probedAt.After(target.answeredAt) && now.Sub(target.answeredAt) >= probeInterval+answerTimeout
	return isOverdue && !target.isSuspect && sinceProbe >= TickInterval
}

func (p *Prober) probe(now time.Time, target *targetState) Probe {
	p.sequence++
	oldest := &target.outstanding[0]
	for i := range target.outstanding {
		if target.outstanding[i] < *oldest {
			oldest = &target.outstanding[i]
		}
	}
	delete(p.pending, *oldest)
	*oldest = p.sequence
	p.pending[p.sequence] = target
	target.probedAt = now
	return Probe{Address: target.Address, Sequence: p.sequence}
}

// Refresh updates the versions of the targets. A suspected member whose record has a new
// version has refuted the suspicion and gets suspectAfter to answer again. Refresh
// reports whether the verdict has changed.
func (p *Prober) Refresh(now time.Time, version func(Member) (major, minor uint64, ok bool)) (hasChanged bool) {
	for member, target := range p.targets {
		major, minor, ok := version(member)
		if !ok {
			delete(p.targets, member)
			hasChanged = hasChanged || target.isSuspect
			continue
		}
		if major == target.Major && minor == target.Minor {
			continue
		}
		target.Major, target.Minor = major, minor
		if target.isSuspect {
			target.isSuspect, target.answeredAt = false, now
			hasChanged = true
		}
	}
	return hasChanged
}

// Verdict returns the current suspicions of the watcher, and the zones in which it
// suspects all members that it watches, at least Quorum.
func (p *Prober) Verdict() *wire.Verdict {
	verdict := &wire.Verdict{Zone: p.zone}
	watched, suspected := make(map[string]int), make(map[string]int)
	for member, target := range p.targets {
		if target.hasResult {
			watched[target.Zone]++
		}
		if !target.isSuspect {
			continue
		}
		suspected[target.Zone]++
		verdict.Suspicions = append(verdict.Suspicions, &wire.Suspicion{Kind: member.Kind, Member: member.Name, Major: target.Major, Minor: target.Minor})
	}
	for zone, count := range suspected {
		if count >= Quorum && count == watched[zone] {
			verdict.LostZones = append(verdict.LostZones, zone)
		}
	}
	slices.Sort(verdict.LostZones)
	slices.SortFunc(verdict.Suspicions, func(a, b *wire.Suspicion) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Member, b.Member))
	})
	return verdict
}

const (
	// refuteInterval is the time between two refutations, so that an agent whose
	// answers are lost does not alternate between down and up.
	refuteInterval = 10 * time.Second
	// probedTimeout is how old the last received probe may be for an agent to refute a
	// suspicion.
	probedTimeout = 2 * time.Second
)

// Refuter decides when an agent publishes a new version of its record because it is
// wrongly suspected. The zero value is ready to use.
type Refuter struct {
	probedAt  time.Time
	refutedAt time.Time
}

// RecordProbe records that a probe of a watcher has reached the agent.
func (r *Refuter) RecordProbe(now time.Time) {
	r.probedAt = now
}

// ShouldRefute reports whether to refute a suspicion now, and if so records that it is
// refuted.
func (r *Refuter) ShouldRefute(now time.Time) bool {
	if now.Sub(r.probedAt) > probedTimeout || now.Sub(r.refutedAt) < refuteInterval {
		return false
	}
	r.refutedAt = now
	return true
}
