package flow

import (
	"net/netip"
	"time"

	"sassafrasturn.example/internal/wire"
)

// Urgency is the class of a flow by the priority of its route: 0 is the most urgent.
type Urgency int

// Urgencies is the number of classes. Higher priorities of routes are in the last one.
const Urgencies = 8

// UrgencyOf returns the class of a route's priority.
func UrgencyOf(priority int) Urgency { return Urgency(min(max(priority, 0), Urgencies-1)) }

// Load is what an agent reports about its endpoint.
type Load struct {
	IsReady         bool
	Slots, InFlight int
	// ServiceTime is the median time that the endpoint needs for a request without waiting for
	// a slot, 0 if it is not known.
	ServiceTime time.Duration
	// Waits are the times until a flow of each urgency class that arrives now would get a slot.
	Waits [Urgencies]time.Duration
}

// Message returns the load as a message, without agent and sequence.
func (l *Load) Message() *wire.EndpointLoad {
	message := &wire.EndpointLoad{
		Ready: l.IsReady, Slots: uint32(max(l.Slots, 0)), InFlight: uint32(max(l.InFlight, 0)),
		ServiceTimeMs: milliseconds(l.ServiceTime),
	}
	last := Urgencies - 1
	for last > 0 && l.Waits[last-1] == l.Waits[Urgencies-1] {
		last--
	}
	for _, wait := range l.Waits[:last+1] {
		message.WaitMs = append(message.WaitMs, milliseconds(wait))
	}
	return message
}

// maxLoadTime bounds the times in a report, which come from other instances.
const maxLoadTime = time.Minute

// maxLoadCount bounds the slots and the requests in flight in a report.
const maxLoadCount = 1 << 20

func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d, 0), maxLoadTime).Milliseconds())
}

// LoadOf returns the load in a message. Values out of range are limited, and a class that the
// message lacks has the wait of the last one.
func LoadOf(message *wire.EndpointLoad) Load {
	load := Load{
		IsReady: message.Ready, Slots: int(min(message.Slots, maxLoadCount)), InFlight: int(min(message.InFlight, maxLoadCount)),
		ServiceTime: fromMilliseconds(message.ServiceTimeMs),
	}
	wait := time.Duration(0)
	for class := range load.Waits {
		if class < len(message.WaitMs) {
			wait = fromMilliseconds(message.WaitMs[class])
		}
		load.Waits[class] = wait
	}
	return load
}

func fromMilliseconds(number uint32) time.Duration {
	return min(time.Duration(number)*time.Millisecond, maxLoadTime)
}

// Loads holds the latest report of each agent. It is not safe for concurrent use.
type Loads struct {
	byAgent map[netip.AddrPort]*loadReport
}

type loadReport struct {
	load Load
	at   time.Duration
}

// maxLoadAge is how long a report is kept. Waits of a report end earlier, since they decrease
// with its age.
const maxLoadAge = 2 * time.Second

// NewLoads returns an empty store.
func NewLoads() *Loads { return &Loads{byAgent: make(map[netip.AddrPort]*loadReport)} }

// Record keeps a report that an agent sent at a time, or later.
func (l *Loads) Record(at time.Duration, agent netip.AddrPort, load Load) {
	l.byAgent[agent] = &loadReport{load: load, at: at}
}

// Get returns the latest report of an agent and its age. It returns false if there is none that
// is recent.
func (l *Loads) Get(now time.Duration, agent netip.AddrPort) (load Load, age time.Duration, ok bool) {
	report, ok := l.byAgent[agent]
	if !ok {
		return Load{}, 0, false
	}
	age = now - report.at
	return report.load, age, age <= maxLoadAge
}

// Wait returns for how long at least a flow that arrives now has to wait for a slot of an agent's
// endpoint. What waited when the report was made has been served since at the endpoint's rate at
// best, so the wait decreases with the age of the report, and is 0 without a recent one: old
// reports and silent agents never lead to a refusal.
func (l *Loads) Wait(now time.Duration, agent netip.AddrPort, urgency Urgency) time.Duration {
	load, age, ok := l.Get(now, agent)
	if !ok {
		return 0
	}
	return max(0, load.Waits[urgency]-age)
}

// Sweep removes old reports.
func (l *Loads) Sweep(now time.Duration) {
	for agent, report := range l.byAgent {
		if now-report.at > maxLoadAge {
			delete(l.byAgent, agent)
		}
	}
}
