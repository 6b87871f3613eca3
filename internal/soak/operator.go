package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// operator sends routing tables and reads them back, as people and their tools
// do: to any control instance, again after no answer, sometimes with its
// connection broken off.
type operator struct {
	world  *world
	client *http.Client
	random *rand.Rand
	sent   int
	// version is the newest sent, accepted the newest acknowledged, read the
	// newest read back.
	version, accepted, read uint64
}

const orderPatience = time.Second

func newOperator(w *world) *operator {
	return &operator{world: w, client: &http.Client{Timeout: orderPatience}, random: rand.New(rand.NewPCG(w.config.Seed, 99))}
}

func (o *operator) url(path string) string {
	return fmt.Sprintf("http://%s:%d%s", o.world.controls[o.random.IntN(controls)].host, operatorPort, path)
}

// replace sends a new version until it is acknowledged or some tries have failed.
func (o *operator) replace(ctx context.Context) {
	o.version += 1 + uint64(o.random.IntN(3))
	body, err := json.Marshal(o.desiredState())
	if err != nil {
		o.world.violate("desired state: %v", err)
		return
	}
	o.sent++
	for range 8 {
		status := o.post(ctx, body)
		switch {
		case status == http.StatusOK:
			o.accepted = max(o.accepted, o.version)
			return
		case status >= 400 && status < 500:
			o.world.violate("version %d was refused with %d", o.version, status)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (o *operator) desiredState() map[string]any {
	routes, known := []any{}, []any{}
	for _, service := range services {
		dialed := routeOf(service)
		routes = append(routes, map[string]any{
			"name": service, "host": dialed.Addr().String(), "path-prefix": fmt.Sprintf("/%d/", dialed.Port()),
			"timeout-ms": 1000 + o.version, "service": service,
		})
		known = append(known, map[string]any{"name": service})
	}
	return map[string]any{
		"version": o.version, "routes": routes, "services": known, "limits": map[string]any{"idle-timeout-ms": 15000},
	}
}

// post sends an order. One in four breaks its connection off before the answer.
func (o *operator) post(ctx context.Context, body []byte) int {
	if o.random.IntN(4) == 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(o.random.IntN(5))*time.Millisecond)
		defer cancel()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, o.url("/Config.Replace"), bytes.NewReader(body))
	if err != nil {
		o.world.violate("order: %v", err)
		return 0
	}
	response, err := o.client.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// checkRead reads the routing table back: an answer must hold what was accepted
// before the read was sent.
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
			o.world.violate("version %d was accepted, then %d was read", before, version)
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
		o.world.violate("the desired state cannot be read back: %v", err)
		return 0, false
	}
	return body.Version, true
}
