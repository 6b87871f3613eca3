// Package fabric is a stand-in for the platform's fabric: it takes callers'
// datagrams at one service address and hands each of them to a balancer chosen
// at random. The way back to each caller is a UDP socket of its own.
package fabric

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("fabric")

const (
	maxDatagramBytes  = 65507
	socketBufferBytes = 4 << 20
	healthInterval    = 100 * time.Millisecond
	healthTimeout     = 500 * time.Millisecond
)

// Target is a balancer as the fabric sees it.
type Target struct {
	// Address is where the balancer takes datagrams.
	Address netip.AddrPort
	// Health is the URL of the health answer; empty means always healthy.
	Health string
}

// Fabric sprays the datagrams of one service address.
type Fabric struct {
	conn    *net.UDPConn
	targets []Target
	healthy []atomic.Bool

	mu      sync.Mutex
	callers map[netip.AddrPort]*net.UDPConn
}

// Listen opens the service address.
func Listen(address netip.AddrPort, targets []Target) (*Fabric, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	setBuffers(conn)
	f := &Fabric{conn: conn, targets: targets, healthy: make([]atomic.Bool, len(targets)), callers: make(map[netip.AddrPort]*net.UDPConn)}
	for i := range f.healthy {
		f.healthy[i].Store(true)
	}
	return f, nil
}

func setBuffers(conn *net.UDPConn) {
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
}

// Run sprays until ctx ends.
func (f *Fabric) Run(ctx context.Context) error {
	context.AfterFunc(ctx, f.close)
	for i := range f.targets {
		if f.targets[i].Health != "" {
			go f.followHealth(ctx, i)
		}
	}
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, caller, err := f.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			continue
		}
		f.spray(caller, buffer[:n])
	}
}

func (f *Fabric) close() {
	f.conn.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range f.callers {
		conn.Close()
	}
}

func (f *Fabric) spray(caller netip.AddrPort, datagram []byte) {
	target, ok := f.pick()
	if !ok {
		return
	}
	conn, err := f.connOf(caller)
	if err != nil {
		return
	}
	// A datagram that cannot be sent is a lost one.
	_, _ = conn.WriteToUDPAddrPort(datagram, target)
}

func (f *Fabric) pick() (netip.AddrPort, bool) {
	start := rand.IntN(len(f.targets))
	for i := range f.targets {
		at := (start + i) % len(f.targets)
		if f.healthy[at].Load() {
			return f.targets[at].Address, true
		}
	}
	return netip.AddrPort{}, false
}

func (f *Fabric) connOf(caller netip.AddrPort) (*net.UDPConn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if conn, ok := f.callers[caller]; ok {
		return conn, nil
	}
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: f.conn.LocalAddr().(*net.UDPAddr).IP})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	setBuffers(conn)
	f.callers[caller] = conn
	go f.returnReplies(conn, caller)
	return conn, nil
}

func (f *Fabric) returnReplies(conn *net.UDPConn, caller netip.AddrPort) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			_, _ = f.conn.WriteToUDPAddrPort(buffer[:n], caller)
		}
	}
}

func (f *Fabric) followHealth(ctx context.Context, index int) {
	client := &http.Client{Timeout: healthTimeout}
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		f.healthy[index].Store(isHealthy(ctx, client, f.targets[index].Health))
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
