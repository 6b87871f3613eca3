package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"
)

// operator simulates the platform's operator: it sends routing tables to random control
// instances and reads them back. It retries requests that were not answered and
// sometimes closes a connection before the answer.
type operator struct {
	cluster *cluster
	client  *http.Client
	random  *rand.Rand
	sent    int
	// version is the newest version sent, accepted the newest acknowledged, and read the
	// version last read back.
	version, accepted, read uint64
	// phase selects the service of the alternating route.
	phase int
}

const operatorTimeout = time.Second

func newOperator(cl *cluster, stream uint64) *operator {
	return &operator{cluster: cl, client: &http.Client{Timeout: operatorTimeout}, random: rand.New(rand.NewPCG(cl.config.Seed, stream))}
}

func (o *operator) url(path string) string {
	return fmt.Sprintf("http://%s:%d%s", o.cluster.controls[o.random.IntN(controlCount)].host, operatorPort, path)
}

// replaceConfig sends a new version until it is acknowledged or all attempts have failed.
func (o *operator) replaceConfig(ctx context.Context) {
	o.version += 1 + uint64(o.random.IntN(3))
	if o.random.IntN(alternateOneIn) == 0 {
		o.phase++
	}
	o.sendIncomplete(ctx)
	o.cluster.rules.recordSent(o.phase)
	body, err := json.Marshal(o.desiredState())
	if err != nil {
		o.cluster.recordViolation("encoding the desired state: %v", err)
		return
	}
	o.sent++
	for range 8 {
		status := o.post(ctx, "/Config.Replace", body)
		switch {
		case status == http.StatusOK:
			o.accepted = max(o.accepted, o.version)
			o.cluster.rules.recordAcknowledged(o.phase)
			return
		case status >= 400 && status < 500:
			o.cluster.recordViolation("version %d of the desired state was rejected with HTTP status %d", o.version, status)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// sendIncomplete sends a state of the next version without one of its parts, which must not be
// accepted.
func (o *operator) sendIncomplete(ctx context.Context) {
	state := o.desiredState()
	part := []string{"routes", "services", "limits"}[o.version%3]
	delete(state, part)
	body, err := json.Marshal(state)
	if err != nil {
		o.cluster.recordViolation("encoding the desired state: %v", err)
		return
	}
	if status := o.post(ctx, "/Config.Replace", body); status >= 200 && status < 300 {
		o.cluster.recordViolation("version %d of the desired state without %s was accepted", o.version, part)
	}
}

func (o *operator) desiredState() map[string]any {
	routes, serviceEntries := []any{}, []any{}
	// Objectives and different priorities put the decisions under load in force.
	add := func(name string, dialed netip.AddrPort, service string) {
		routes = append(routes, map[string]any{
			"name": name, "host": dialed.Addr().String(), "path-prefix": fmt.Sprintf("/%d/", dialed.Port()),
			"timeout-ms": 1000 + o.version, "target-latency-ms": 200, "priority": 1 + len(routes)%2, "service": service,
		})
	}
	for _, service := range services {
		add(service, routeAddress(service), service)
		serviceEntries = append(serviceEntries, map[string]any{"name": service})
	}
	add("turning", alternatingRoute, serviceOf(o.phase))
	return map[string]any{
		"version": o.version, "routes": routes, "services": serviceEntries, "limits": map[string]any{"idle-timeout-ms": 15000},
	}
}

// post sends a request and returns the HTTP status, or 0 if there was no answer. One
// request in four has a timeout below 5 ms, so that its connection may be closed before the
// answer.
func (o *operator) post(ctx context.Context, path string, body []byte) int {
	if o.random.IntN(4) == 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(o.random.IntN(5))*time.Millisecond)
		defer cancel()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, o.url(path), bytes.NewReader(body))
	if err != nil {
		o.cluster.recordViolation("creating an operator request: %v", err)
		return 0
	}
	response, err := o.client.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// alternateOneIn is the mean number of versions between changes of the alternating
// route, which must stay unchanged for longer than a change takes to be in force.
const alternateOneIn = 25

// evacuate takes the zones out of service one after the other, each for some seconds.
func (o *operator) evacuate(ctx context.Context) {
	for zone := 0; ctx.Err() == nil; zone++ {
		time.Sleep(time.Duration(o.random.Int64N(int64(evacuationTime))))
		if !o.postUntilAccepted(ctx, "/Evacuations.Start/"+zoneOf(zone)) {
			continue
		}
		o.cluster.rules.setEvacuated(zoneOf(zone), true)
		time.Sleep(evacuationTime + time.Duration(o.random.Int64N(int64(evacuationTime))))
		o.cluster.rules.setEvacuated(zoneOf(zone), false)
		// Without cancellation, because the zone must be in service again even if the
		// fault injection ends before the evacuation.
		o.postUntilAccepted(context.WithoutCancel(ctx), "/Evacuations.End/"+zoneOf(zone))
	}
}

// postUntilAccepted repeats a request without a body until it is acknowledged, at most for
// recoveryTime.
func (o *operator) postUntilAccepted(ctx context.Context, path string) bool {
	for deadline := time.Now().Add(recoveryTime); ctx.Err() == nil && time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if o.post(ctx, path, nil) == http.StatusOK {
			return true
		}
	}
	return false
}

// checkRead reads the routing table back. The answer must be at least as new as the
// newest version accepted before the read was sent.
func (o *operator) checkRead(ctx context.Context) {
	before := o.accepted
	for range 10 {
		version, ok := o.get(ctx)
		if !ok {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		o.read = version
		if version < before {
			o.cluster.recordViolation("version %d was accepted, but version %d was read afterwards", before, version)
		}
		return
	}
}

func (o *operator) get(ctx context.Context) (uint64, bool) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, o.url("/Config.Get"), nil)
	if err != nil {
		return 0, false
	}
	response, err := o.client.Do(request)
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	var body struct {
		Version uint64 `json:"version"`
	}
	if err != nil || response.StatusCode != http.StatusOK {
		return 0, false
	}
	if err := json.Unmarshal(data, &body); err != nil {
		o.cluster.recordViolation("decoding the desired state that was read back: %v", err)
		return 0, false
	}
	return body.Version, true
}
