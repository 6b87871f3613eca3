package main

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

// operator calls the control plane as PROTOCOL.md describes it.
type operator struct {
	site   *site
	client *http.Client
}

func newOperator(s *site) *operator {
	return &operator{site: s, client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// call sends an order to one node after the other until it is acknowledged or refused, and
// returns the status and the body.
func (o *operator) call(ctx context.Context, method, path string, body []byte) (int, []byte) {
	backoff := 50 * time.Millisecond
	for attempt := 0; ctx.Err() == nil && attempt < 40; attempt++ {
		core := o.site.cores[rand.IntN(len(o.site.cores))]
		request, err := http.NewRequestWithContext(ctx, method, "http://"+o.site.address(core.ip, portControl)+path, bytes.NewReader(body))
		if err != nil {
			return 0, nil
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := o.client.Do(request)
		if err == nil {
			data, _ := io.ReadAll(response.Body)
			response.Body.Close()
			if response.StatusCode < 500 && response.StatusCode != 408 && response.StatusCode != 429 && response.StatusCode != 307 {
				o.site.record.logf("operator: %s %s at %s -> %d", method, path, core.name, response.StatusCode)
				return response.StatusCode, data
			}
		}
		pause(ctx, backoff)
		backoff = min(2*backoff, time.Second)
	}
	return 0, nil
}

// route is a route of a desired state. It leads to one service or, by weight, to several.
type route struct {
	name, host string
	port       int
	kind       string
	timeoutMs  int
	services   []string
}

// desiredState returns the body of a desired state.
func desiredState(version int, routes []route, services []string, coldStartS, coldPerS float64) []byte {
	var routeList, serviceList []any
	for _, r := range routes {
		entry := map[string]any{
			"name": r.name, "host": r.host, "path-prefix": fmt.Sprintf("/%d/", r.port), "route-type": r.kind,
			"timeout-ms": r.timeoutMs, "target-latency-ms": 200, "priority": 1, "max-attempts": 2,
		}
		if len(r.services) == 1 {
			entry["service"] = r.services[0]
		} else {
			var weighted []any
			for _, name := range r.services {
				weighted = append(weighted, map[string]any{"service": name, "weight": 10})
			}
			entry["weighted-backends"] = weighted
		}
		routeList = append(routeList, entry)
	}
	for _, name := range services {
		serviceList = append(serviceList, map[string]any{
			"name": name, "health-path": "/health", "max-conns": 2000, "protocol": "h1", "tls": false,
			"cold-start-s": coldStartS, "cold-per-s": coldPerS,
		})
	}
	body, _ := json.Marshal(map[string]any{
		"version": version, "routes": routeList, "services": serviceList,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	return body
}

// replace submits a desired state and reports whether it was acknowledged.
func (o *operator) replace(ctx context.Context, body []byte) bool {
	o.site.record.logf("operator: sends %s", body)
	status, _ := o.call(ctx, http.MethodPost, "/Config.Replace", body)
	return status == http.StatusOK
}

// evacuate starts or ends the evacuation of a zone and reports whether it was acknowledged.
func (o *operator) evacuate(ctx context.Context, zone string, isStart bool) bool {
	verb := map[bool]string{true: "Start", false: "End"}[isStart]
	status, _ := o.call(ctx, http.MethodPost, "/Evacuations."+verb+"/"+zone, nil)
	return status == http.StatusOK
}
