// Package naive is a baseline for measurements: a UDP balancer that chooses the
// endpoint by the hash of the caller's address modulo the number of endpoints, and
// an endpoint that terminates QUIC itself.
package naive

import (
	"context"
	"hash/fnv"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"sassafrasturn.example/internal/standin/returnsocket"
)

// Error is the class of this package's errors.
var Error = errs.Class("naive")

const listReadInterval = 100 * time.Millisecond

// Balancer forwards datagrams to the endpoints that a file lists, one ip:port per
// line. The file is read again periodically.
type Balancer struct {
	sockets   *returnsocket.Table
	listPath  string
	endpoints atomic.Pointer[[]netip.AddrPort]
}

// Listen opens the balancer's address. list is the path of the file of endpoints.
func Listen(address netip.AddrPort, list string) (*Balancer, error) {
	conn, err := returnsocket.Listen(address)
	if err != nil {
		return nil, err
	}
	b := &Balancer{sockets: returnsocket.NewTable(conn), listPath: list}
	b.endpoints.Store(&[]netip.AddrPort{})
	return b, nil
}

// Run forwards datagrams until ctx ends.
func (b *Balancer) Run(ctx context.Context) {
	context.AfterFunc(ctx, b.sockets.Close)
	go b.watchList(ctx)
	b.sockets.Receive(b.forward)
}

func (b *Balancer) watchList(ctx context.Context) {
	ticker := time.NewTicker(listReadInterval)
	defer ticker.Stop()
	for {
		if endpoints, err := readList(b.listPath); err == nil {
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

func (b *Balancer) forward(caller netip.AddrPort, datagram []byte) {
	endpoints := *b.endpoints.Load()
	if len(endpoints) == 0 {
		return
	}
	hash := fnv.New32a()
	hash.Write([]byte(caller.String()))
	endpoint := endpoints[hash.Sum32()%uint32(len(endpoints))]
	b.sockets.Send(caller, datagram, endpoint)
}
