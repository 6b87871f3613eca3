package agent

import (
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/membership"
	"sassafrasturn.example/internal/wire"
)

// presence answers the balancers that watch the agent, and refutes them when
// they suspect it without cause.
type presence struct {
	mu      sync.Mutex
	refuter membership.Refuter
}

// answerProbe tells a watching balancer that the agent is alive; replies of
// quiet flows can leave through that balancer.
func (a *Agent) answerProbe(from netip.AddrPort, message *wire.Envelope) {
	now := time.Now()
	a.paths.hearProbe(now, from)
	a.presence.mu.Lock()
	a.presence.refuter.RecordProbe(now)
	a.presence.mu.Unlock()
	a.send(&wire.Envelope{
		Kind:        wire.Envelope_KIND_PROBE_ANSWER,
		Sequence:    message.Sequence,
		Incarnation: a.instance.PublishedIncarnation(),
	}, from)
}

// followVerdicts refutes suspicions about this agent.
func (a *Agent) followVerdicts(records []*wire.Record) {
	for _, record := range records {
		if record.Kind != wire.Record_KIND_VERDICT || !a.isNamed(record) {
			continue
		}
		a.presence.mu.Lock()
		refutes := a.presence.refuter.ShouldRefute(time.Now())
		a.presence.mu.Unlock()
		if refutes {
			a.instance.Log.Warn().Str("watcher", record.Key).Msg("suspected although probes arrive; refuting")
			go a.refute()
		}
		return
	}
}

func (a *Agent) isNamed(record *wire.Record) bool {
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
	held := a.instance.Store.Get(wire.Record_KIND_ENDPOINT, a.instance.Settings.Instance)
	endpoint := new(wire.Endpoint)
	if held == nil || proto.Unmarshal(held.Value, endpoint) != nil {
		return
	}
	a.sequence++
	a.instance.Publish(wire.Record_KIND_ENDPOINT, a.sequence, endpoint)
}
