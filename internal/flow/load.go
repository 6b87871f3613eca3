package flow

import (
	"net/netip"
	"time"

	"sassafrasturn.example/internal/wire"
)

// Load is what an agent reports about its endpoint.
type Load struct {
	IsReady         bool
	Slots, InFlight int
	// ServiceTime is the median time that the endpoint needs for a request without waiting for
	// a slot, 0 if it is not known.
	ServiceTime time.Duration
	// Wait is the time until a flow that arrives now would get a slot.
	Wait time.Duration
}

// Message returns the load as a message, without agent and sequence.
func (l *Load) Message() *wire.EndpointLoad {
	return &wire.EndpointLoad{
		Ready: l.IsReady, Slots: uint32(max(l.Slots, 0)), InFlight: uint32(max(l.InFlight, 0)),
		ServiceTimeMs: milliseconds(l.ServiceTime), WaitMs: milliseconds(l.Wait),
	}
}

// maxLoadTime bounds the times in a report, which come from other instances.
const maxLoadTime = time.Minute

// maxLoadCount bounds the slots and the requests in flight in a report.
const maxLoadCount = 1 << 20

func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d, 0), maxLoadTime).Milliseconds())
}

// LoadOf returns the load in a message. Values out of range are limited.
func LoadOf(message *wire.EndpointLoad) Load {
	return Load{
		IsReady: message.Ready, Slots: int(min(message.Slots, maxLoadCount)), InFlight: int(min(message.InFlight, maxLoadCount)),
		ServiceTime: fromMilliseconds(message.ServiceTimeMs), Wait: fromMilliseconds(message.WaitMs),
	}
}

func fromMilliseconds(number uint32) time.Duration {
	return min(time.Duration(number)*time.Millisecond, maxLoadTime)
}

// EstimateServiceTime estimates the time for which a request occupies a slot. The response time
// contains the time in the endpoint's queue: by Little's law, inFlight requests leave per response
// time, and slots of them per service time.
func EstimateServiceTime(slots, inFlight int, responseTime time.Duration) time.Duration {
	if inFlight <= slots {
		return responseTime
	}
	return responseTime * time.Duration(slots) / time.Duration(inFlight)
}

// EstimateWait estimates the time until a flow that arrives now gets a slot. The endpoint serves
// flows in the order of arrival.
func EstimateWait(slots, inFlight int, serviceTime time.Duration) time.Duration {
	if slots <= 0 || inFlight < slots {
		return 0
	}
	return serviceTime * time.Duration(inFlight-slots+1) / time.Duration(slots)
}

// Loads holds the latest report of each agent. It is not safe for concurrent use.
type Loads struct {
	byAgent map[netip.AddrPort]*loadReport
}

type loadReport struct {
	load Load
	at   time.Duration
}

// maxLoadAge is how long a report is kept.
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

// Sweep removes old reports.
func (l *Loads) Sweep(now time.Duration) {
	for agent, report := range l.byAgent {
		if now-report.at > maxLoadAge {
			delete(l.byAgent, agent)
		}
	}
}
