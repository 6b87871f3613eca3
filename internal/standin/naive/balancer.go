// Package naive is a baseline to measure against: a UDP balancer that chooses
// the endpoint by the hash of the caller's address modulo the list of
// endpoints, and an endpoint that ends QUIC itself.
package naive

import (
	"context"
	"errors"
	"hash/fnv"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("naive")

const (
	maxDatagramBytes = 65507
	listInterval     = 100 * time.Millisecond
)

// Balancer relays datagrams to the endpoints that a file lists, one ip:port a line.
type Balancer struct {
	conn *net.UDPConn
	list string

	endpoints atomic.Pointer[[]netip.AddrPort]

	mu      sync.Mutex
	callers map[netip.AddrPort]*net.UDPConn
}

// Listen opens the balancer's address.
func Listen(address netip.AddrPort, list string) (*Balancer, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	b := &Balancer{conn: conn, list: list, callers: make(map[netip.AddrPort]*net.UDPConn)}
	b.endpoints.Store(&[]netip.AddrPort{})
	return b, nil
}

// Run relays until ctx ends.
func (b *Balancer) Run(ctx context.Context) error {
	context.AfterFunc(ctx, func() { b.conn.Close() })
	go b.followList(ctx)
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, caller, err := b.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err == nil {
			b.relay(caller, buffer[:n])
		}
	}
}

func (b *Balancer) followList(ctx context.Context) {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		if endpoints, err := readList(b.list); err == nil {
			b.endpoints.Store(&endpoints)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func readList(path string) ([]netip.AddrPort, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var endpoints []netip.AddrPort
	for _, line := range strings.Fields(string(data)) {
		endpoint, err := netip.ParseAddrPort(line)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints, nil
}

func (b *Balancer) relay(caller netip.AddrPort, datagram []byte) {
	endpoints := *b.endpoints.Load()
	if len(endpoints) == 0 {
		return
	}
	hash := fnv.New32a()
	hash.Write([]byte(caller.String()))
	endpoint := endpoints[hash.Sum32()%uint32(len(endpoints))]
	conn, err := b.connOf(caller)
	if err != nil {
		return
	}
	// A datagram that cannot be sent is a lost one.
	_, _ = conn.WriteToUDPAddrPort(datagram, endpoint)
}

// connOf returns the socket that stands for a caller towards the endpoints.
func (b *Balancer) connOf(caller netip.AddrPort) (*net.UDPConn, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if conn, ok := b.callers[caller]; ok {
		return conn, nil
	}
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: b.conn.LocalAddr().(*net.UDPAddr).IP})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	b.callers[caller] = conn
	go b.returnReplies(conn, caller)
	return conn, nil
}

func (b *Balancer) returnReplies(conn *net.UDPConn, caller netip.AddrPort) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			_, _ = b.conn.WriteToUDPAddrPort(buffer[:n], caller)
		}
	}
}
