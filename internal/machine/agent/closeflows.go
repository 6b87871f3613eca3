package agent

import (
	"context"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// zoneOutGrace is how long requests in flight may continue once the zone is out
// of service. By then the agent receives no more datagrams from callers, but
// can still send responses.
const zoneOutGrace = time.Second

// closeFlows closes every connection when the zone is out of service, because
// balancers then drop callers' datagrams to it. A caller whose connection is
// closed dials again at once. Otherwise it would wait for its idle timeout,
// which every packet from the agent restarts. Connections with requests in
// flight are closed when these finish, at the latest after zoneOutGrace.
func (a *Agent) closeFlows() {
	a.mu.Lock()
	s := a.serving
	a.mu.Unlock()
	if s == nil {
		return
	}
	a.instance.Log.Warn().Str("zone", a.instance.Settings.Zone).Int64("flows", s.work.flows.Load()).Msg("zone out of service; closing flows")
	ctx, cancel := context.WithTimeout(context.Background(), zoneOutGrace)
	defer cancel()
	waitUntil(ctx, func() bool { return s.closeIdle() == 0 })
	for _, c := range s.work.connections() {
		c.closeZoneOut()
	}
}

// closeIdle closes the connections without running requests and returns the number of the others.
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
	// An error means that the connection is already closed.
	_ = c.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "availability zone out of service")
}
