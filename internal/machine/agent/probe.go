package agent

import (
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/membership"
	"sassafrasturn.example/internal/wire"
)

// liveness tracks the probes that balancers send to the agent and decides when
// the agent refutes a suspicion.
type liveness struct {
	mu      sync.Mutex
	refuter membership.Refuter
}

// answerProbe answers a balancer's probe. It also records the balancer as alive,
// so that replies of idle flows can be sent through it.
func (a *Agent) answerProbe(from netip.AddrPort, message *wire.Envelope) {
	now := time.Now()
	a.paths.recordProbe(now, from)
	a.liveness.mu.Lock()
	a.liveness.refuter.RecordProbe(now)
	a.liveness.mu.Unlock()
	a.send(&wire.Envelope{
		Kind:        wire.Envelope_KIND_PROBE_ANSWER,
		Sequence:    message.Sequence,
		Incarnation: a.instance.PublishedIncarnation(),
	}, from)
}

// handleVerdicts refutes suspicions of this agent if probes still arrive.
func (a *Agent) handleVerdicts(records []*wire.Record) {
	for _, record := range records {
		if record.Kind != wire.Record_KIND_VERDICT || !a.isSuspected(record) {
			continue
		}
		a.liveness.mu.Lock()
		shouldRefute := a.liveness.refuter.ShouldRefute(time.Now())
		a.liveness.mu.Unlock()
		if shouldRefute {
			a.instance.Log.Warn().Str("watcher", record.Key).Msg("suspected although probes are arriving; refuting the suspicion")
			go a.refute()
		}
		return
	}
}

// isSuspected reports whether a verdict record suspects the current incarnation of this agent.
func (a *Agent) isSuspected(record *wire.Record) bool {
	verdict := new(wire.Verdict)
	if proto.Unmarshal(record.Value, verdict) != nil {
		return false
	}
	for _, suspicion := range verdict.Suspicions {
		if suspicion.Member == a.instance.Settings.Instance && suspicion.Major >= a.instance.PublishedIncarnation() {
			return true
		}
	}
	return false
}

// refute publishes the endpoint record again with a higher sequence number.
func (a *Agent) refute() {
	a.mu.Lock()
	defer a.mu.Unlock()
	current := a.instance.Store.Get(wire.Record_KIND_ENDPOINT, a.instance.Settings.Instance)
	endpoint := new(wire.Endpoint)
	if current == nil || proto.Unmarshal(current.Value, endpoint) != nil {
		return
	}
	a.sequence++
	a.instance.Publish(wire.Record_KIND_ENDPOINT, a.sequence, endpoint)
}
