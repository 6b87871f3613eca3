package agent

import (
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/membership"
	"sassafrasturn.example/internal/wire"
)

// liveness answers the balancers that watch the agent, and refutes them when
// they suspect it without cause.
type liveness struct {
	mu      sync.Mutex
	refuter membership.Refuter
}

// answerProbe tells a watching balancer that the agent is alive; replies of
// quiet flows can leave through that balancer.
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

// handleVerdicts refutes suspicions about this agent.
func (a *Agent) handleVerdicts(records []*wire.Record) {
	for _, record := range records {
		if record.Kind != wire.Record_KIND_VERDICT || !a.isSuspected(record) {
			continue
		}
		a.liveness.mu.Lock()
		shouldRefute := a.liveness.refuter.ShouldRefute(time.Now())
		a.liveness.mu.Unlock()
		if shouldRefute {
			a.instance.Log.Warn().Str("watcher", record.Key).Msg("suspected although probes arrive; refuting")
			go a.refute()
		}
		return
	}
}

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

// refute publishes the endpoint's record again as a newer one.
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
