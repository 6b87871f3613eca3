package exchange

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/link"
	"sassafrasturn.example/internal/wire"
)

const (
	// planInterval is the time between evaluations of the topology.
	planInterval = 250 * time.Millisecond
	// sweepInterval is the time between removals of old tombstones.
	sweepInterval = time.Hour
	// maxSessions limits the concurrent sessions of an instance.
	maxSessions = 1024
)

// MeshConfig configures the links of an instance.
type MeshConfig struct {
	Store  *Store
	Dialer *link.Dialer
	// Self is this instance.
	Self Peer
	// Seeds are the link addresses from the settings.
	Seeds []string
	// IsPartial is true for an agent, which subscribes to a part of the records.
	IsPartial bool
	// KeepsSeeds is true for an instance that keeps links to its seeds permanently.
	KeepsSeeds bool
}

// Mesh maintains the links of an instance to its peers.
type Mesh struct {
	config   MeshConfig
	topology *topology
	// isStale is true when the topology's peers must be read again from the records.
	isStale atomic.Bool

	mu      sync.Mutex
	nextID  int
	links   map[int]*meshLink
	dialing map[string]bool
	// topoMu guards topology.
	topoMu sync.Mutex
}

// meshLink is a session with the data that the topology needs.
type meshLink struct {
	session *Session
	// address was dialed; empty for an accepted link.
	address  string
	openedAt time.Time
	close    context.CancelFunc
}

// NewMesh returns a mesh without links; Run opens them.
func NewMesh(config MeshConfig) *Mesh {
	m := &Mesh{
		config:  config,
		links:   make(map[int]*meshLink),
		dialing: make(map[string]bool),
		topology: &topology{
			self:       config.Self,
			seeds:      config.Seeds,
			isPartial:  config.IsPartial,
			keepsSeeds: config.KeepsSeeds,
			random:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			rotatedAt:  time.Now(),
		},
	}
	m.isStale.Store(true)
	return m
}

// Run dials and closes links until ctx is done.
func (m *Mesh) Run(ctx context.Context) {
	stopWatch := m.config.Store.Watch(m.onRecords)
	defer stopWatch()
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	sweeper := time.NewTicker(sweepInterval)
	defer sweeper.Stop()
	for {
		m.plan(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case now := <-sweeper.C:
			m.config.Store.sweep(now)
		}
	}
}

func (m *Mesh) onRecords(changed []*wire.Record) {
	for _, record := range changed {
		if record.Kind == wire.Record_KIND_BALANCER || record.Key == m.config.Self.Instance {
			m.isStale.Store(true)
			return
		}
	}
}

func (m *Mesh) plan(ctx context.Context) {
	if m.isStale.Swap(false) {
		m.updatePeers()
	}
	m.topoMu.Lock()
	dial, drop := m.topology.plan(time.Now(), m.states())
	m.topoMu.Unlock()
	for _, id := range drop {
		m.drop(id)
	}
	for _, address := range dial {
		m.dial(ctx, address)
	}
}

// updatePeers reads the peers from the balancer records and updates the
// subscription of a partial instance on all links.
func (m *Mesh) updatePeers() {
	var peers []Peer
	for _, record := range m.config.Store.List(wire.Record_KIND_BALANCER) {
		balancer := new(wire.Balancer)
		if proto.Unmarshal(record.Value, balancer) == nil {
			peers = append(peers, Peer{Instance: record.Key, Address: balancer.Link})
		}
	}
	m.topoMu.Lock()
	m.topology.setPeers(peers)
	m.topoMu.Unlock()
	if !m.config.IsPartial {
		return
	}
	subscription := m.hello().Subscription
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		l.session.Subscribe(subscription)
	}
}

// hello returns the Hello message for new sessions. An agent subscribes to the
// service in its own endpoint record.
func (m *Mesh) hello() *wire.Hello {
	hello := &wire.Hello{Instance: m.config.Self.Instance}
	if m.config.IsPartial {
		hello.Subscription = &wire.Subscription{Instance: m.config.Self.Instance}
		if own := m.config.Store.Get(wire.Record_KIND_ENDPOINT, m.config.Self.Instance); own != nil {
			hello.Subscription.Service = own.Scope
		}
	}
	return hello
}

// states returns the open links and the ones being dialed.
func (m *Mesh) states() []linkState {
	m.mu.Lock()
	defer m.mu.Unlock()
	states := make([]linkState, 0, len(m.links)+len(m.dialing))
	for id, l := range m.links {
		instance, isPartial := l.session.Peer()
		states = append(states, linkState{id: id, instance: instance, address: l.address, isPartial: isPartial, openedAt: l.openedAt})
	}
	for address := range m.dialing {
		states = append(states, linkState{id: -1, address: address, openedAt: time.Now()})
	}
	return states
}

// drop closes a link.
func (m *Mesh) drop(id int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l, ok := m.links[id]; ok {
		l.close()
	}
}

// dial opens a link to the address in the background unless one is being opened.
func (m *Mesh) dial(ctx context.Context, address string) {
	m.mu.Lock()
	isDialing := m.dialing[address]
	m.dialing[address] = true
	m.mu.Unlock()
	if isDialing {
		return
	}
	go func() {
		m.dialAndServe(ctx, address)
		m.topoMu.Lock()
		m.topology.recordFailure(time.Now(), address)
		m.topoMu.Unlock()
	}()
}

func (m *Mesh) dialAndServe(ctx context.Context, address string) {
	stream, closeLink, err := m.open(ctx, address)
	m.mu.Lock()
	delete(m.dialing, address)
	m.mu.Unlock()
	if err != nil {
		return
	}
	defer closeLink()
	// The error is ignored: the topology decides about reconnecting, whatever
	// ended the link.
	_ = m.serve(ctx, stream, address)
}

// open dials the address and opens an exchange stream.
func (m *Mesh) open(ctx context.Context, address string) (stream net.Conn, closeLink func() error, err error) {
	session, err := m.config.Dialer.Dial(ctx, address)
	if err != nil {
		return nil, nil, err
	}
	stream, err = session.Open()
	if err != nil {
		session.Close()
		return nil, nil, Error.Wrap(err)
	}
	request := &wire.Request{Body: &wire.Request_Exchange{Exchange: &wire.ExchangeRequest{Instance: m.config.Self.Instance}}}
	if err := link.WriteMessage(stream, request); err != nil {
		session.Close()
		return nil, nil, err
	}
	return stream, session.Close, nil
}

// Accept runs a session on a stream that a peer has opened, until the session ends.
func (m *Mesh) Accept(ctx context.Context, stream net.Conn) error {
	return m.serve(ctx, stream, "")
}

func (m *Mesh) serve(ctx context.Context, stream net.Conn, address string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.mu.Lock()
	if len(m.links) >= maxSessions {
		m.mu.Unlock()
		return Error.New("exchange session refused: the maximum of %d sessions is open", maxSessions)
	}
	session := NewSession(time.Now(), m.config.Store, m.hello())
	m.nextID++
	id := m.nextID
	m.links[id] = &meshLink{session: session, address: address, openedAt: time.Now(), close: cancel}
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		delete(m.links, id)
		m.mu.Unlock()
	}()
	return Serve(ctx, session, stream)
}

// Links returns the number of open links to agents and to other instances.
// Links whose peer has not sent its hello yet are not counted.
func (m *Mesh) Links() (instances, agents int) {
	for _, state := range m.states() {
		switch {
		case state.instance == "":
		case state.isPartial:
			agents++
		default:
			instances++
		}
	}
	return instances, agents
}
