package agent

import (
	"context"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// zoneOutGrace is how long requests in flight may go on once the zone is out.
// Nothing reaches the agent any more by then, but answers still leave.
const zoneOutGrace = time.Second

// closeFlows closes every connection, since the zone is out of service and
// balancers drop what callers send into it. A caller whose connection is closed
// dials again at once; one that hears nothing waits for its timeout, which the
// agent's own packets put off.
func (a *Agent) closeFlows() {
	a.mu.Lock()
	s := a.serving
	a.mu.Unlock()
	if s == nil {
		return
	}
	a.instance.Log.Warn().Str("zone", a.instance.Settings.Zone).Int64("flows", s.work.flows.Load()).Msg("the zone is out of service: flows are given up")
	ctx, cancel := context.WithTimeout(context.Background(), zoneOutGrace)
	defer cancel()
	waitUntil(ctx, func() bool { return s.closeIdle() == 0 })
	for _, c := range s.work.connections() {
		c.closeZoneOut()
	}
}

// closeIdle closes the connections without a request and returns how many others there are.
func (s *serving) closeIdle() int {
	busy := 0
	for _, c := range s.work.connections() {
		if c.requests.Load() > 0 {
			busy++
			continue
		}
		c.closeZoneOut()
	}
	return busy
}

func (c *connection) closeZoneOut() {
	// An error says that the connection has ended already.
	_ = c.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "availability zone out of service")
}
