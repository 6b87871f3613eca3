// Package fabric is a stand-in for the platform's fabric. It receives the callers'
// datagrams at one service address and forwards each of them to a balancer chosen
// at random. Replies to each caller arrive at a separate UDP socket.
package fabric

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"sassafrasturn.example/internal/standin/returnsocket"
)

const (
	healthInterval = 100 * time.Millisecond
	healthTimeout  = 500 * time.Millisecond
)

// Target is a balancer to which the fabric forwards datagrams.
type Target struct {
	// Address is the address at which the balancer receives datagrams.
	Address netip.AddrPort
	// HealthURL is polled for the balancer's health: status 200 means healthy. If it
	// is empty, the balancer counts as always healthy.
	HealthURL string
}

// Fabric distributes the datagrams of one service address over its targets.
type Fabric struct {
	sockets *returnsocket.Table
	targets []Target
	healthy []atomic.Bool
}

// Listen opens the service address. All targets count as healthy at first.
func Listen(address netip.AddrPort, targets []Target) (*Fabric, error) {
	conn, err := returnsocket.Listen(address)
	if err != nil {
		return nil, err
	}
	f := &Fabric{sockets: returnsocket.NewTable(conn), targets: targets, healthy: make([]atomic.Bool, len(targets))}
	for i := range f.healthy {
		f.healthy[i].Store(true)
	}
	return f, nil
}

// Run forwards datagrams until ctx ends.
func (f *Fabric) Run(ctx context.Context) {
	context.AfterFunc(ctx, f.sockets.Close)
	for i := range f.targets {
		if f.targets[i].HealthURL != "" {
			go f.watchHealth(ctx, i)
		}
	}
	f.sockets.Receive(f.forward)
}

func (f *Fabric) forward(caller netip.AddrPort, datagram []byte) {
	if target, ok := f.pickHealthy(); ok {
		f.sockets.Send(caller, datagram, target)
	}
}

// pickHealthy returns the address of a healthy target, beginning the search at a
// random one.
func (f *Fabric) pickHealthy() (netip.AddrPort, bool) {
	start := rand.IntN(len(f.targets))
	for i := range f.targets {
		at := (start + i) % len(f.targets)
		if f.healthy[at].Load() {
			return f.targets[at].Address, true
		}
	}
	return netip.AddrPort{}, false
}

func (f *Fabric) watchHealth(ctx context.Context, index int) {
	client := &http.Client{Timeout: healthTimeout}
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		f.healthy[index].Store(isHealthy(ctx, client, f.targets[index].HealthURL))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func isHealthy(ctx context.Context, client *http.Client, url string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
