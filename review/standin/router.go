package main

import (
	"context"
	"encoding/binary"
	"hash/fnv"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// router forwards the packets of a zone's clients to the edge nodes that are in rotation.
type router struct {
	site  *site
	zone  string
	edges []*routedEdge
}

type routedEdge struct {
	node  *node
	to    *net.UDPAddr
	misse atomic.Int32
	isIn  atomic.Bool
}

// missesUntilOut is how many status checks in a row a node misses before it is out of rotation.
const missesUntilOut = 2

func newRouter(ctx context.Context, s *site, zone string) *router {
	r := &router{site: s, zone: zone}
	client := &http.Client{Timeout: 500 * time.Millisecond}
	for _, n := range s.edges {
		if n.zone != zone {
			continue
		}
		e := &routedEdge{node: n, to: &net.UDPAddr{IP: net.ParseIP(n.ip), Port: s.port + portDatagram}}
		r.edges = append(r.edges, e)
		go e.check(ctx, client, "http://"+s.address(n.ip, portReady)+"/ready")
	}
	return r
}

func (e *routedEdge) check(ctx context.Context, client *http.Client, url string) {
	ticker := time.NewTicker(500 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		response, err := client.Get(url)
		if err == nil {
			response.Body.Close()
		}
		if err == nil && response.StatusCode == http.StatusOK {
			e.misse.Store(0)
			e.isIn.Store(true)
		} else if e.misse.Add(1) >= missesUntilOut {
			e.isIn.Store(false)
		}
	}
}

// pick returns the node for a packet, by a hash of its addresses and ports.
func (r *router) pick(p *packet) *net.UDPAddr {
	var in []*routedEdge
	for _, e := range r.edges {
		if e.isIn.Load() {
			in = append(in, e)
		}
	}
	if 2*len(in) < len(r.edges) || len(in) == 0 {
		in = r.edges
	}
	hash := fnv.New64a()
	src, dst := p.src.Addr().As4(), p.dst.Addr().As4()
	hash.Write(src[:])
	hash.Write(dst[:])
	var ports [4]byte
	binary.BigEndian.PutUint16(ports[:], p.src.Port())
	binary.BigEndian.PutUint16(ports[2:], p.dst.Port())
	hash.Write(ports[:])
	return in[hash.Sum64()%uint64(len(in))].to
}
