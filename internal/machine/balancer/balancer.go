// Package balancer runs the balancer role: it takes callers' datagrams from
// the fabric, hands them to agents in envelopes and sends the agents' replies
// back to the callers. It keeps no state about flows.
package balancer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"sassafrasturn.example/internal/envelope"
	"sassafrasturn.example/internal/machine"
	"sassafrasturn.example/internal/route"
	"sassafrasturn.example/internal/token"
	"sassafrasturn.example/internal/wire"
)

// Error is the class of this package's errors.
var Error = errs.Class("balancer")

const (
	// socketBufferBytes is asked for on every UDP socket; the kernel may give less.
	socketBufferBytes = 4 << 20
	// quietPeriod without any datagram ends draining: the fabric has moved on.
	quietPeriod = time.Second
)

// Balancer is the balancer role of an instance.
type Balancer struct {
	instance *machine.Instance
	sealer   *envelope.Sealer
	router   *route.Router
	conn     *net.UDPConn
	metrics  *metrics

	mu        sync.RWMutex
	listeners map[uint32]*listener

	isDraining   atomic.Bool
	lastDatagram atomic.Int64
	changed      chan struct{}
}

// New prepares the balancer role of an instance.
func New(instance *machine.Instance) (*Balancer, error) {
	sealer, err := envelope.NewSealer(instance.Keys)
	if err != nil {
		return nil, err
	}
	codec, err := token.NewCodec(instance.Keys)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(instance.Settings.Balancer.Envelope))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	setBuffers(conn)
	return &Balancer{
		instance:  instance,
		sealer:    sealer,
		router:    route.NewRouter(codec),
		conn:      conn,
		metrics:   newMetrics(instance.Metrics),
		listeners: make(map[uint32]*listener),
		changed:   make(chan struct{}, 1),
	}, nil
}

// setBuffers asks for large socket buffers. Where the option is refused,
// forwarding works with the smaller ones.
func setBuffers(conn *net.UDPConn) {
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
}

// Run forwards datagrams until ctx ends.
func (b *Balancer) Run(ctx context.Context) error {
	stopWatch := b.instance.Store.Watch(b.onRecords)
	defer stopWatch()
	context.AfterFunc(ctx, b.close)
	b.publish()
	b.signalChange()
	go b.followRecords(ctx)
	return b.forwardReplies(ctx)
}

func (b *Balancer) close() {
	b.conn.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range b.listeners {
		l.conn.Close()
	}
}

func (b *Balancer) publish() {
	s := b.instance.Settings
	b.instance.Publish(wire.Record_KIND_BALANCER, 1, &wire.Balancer{
		Instance: s.Instance,
		Address:  envelope.PackAddress(s.Balancer.Envelope),
		Zone:     s.Zone,
		Link:     s.Link.Listen.String(),
	})
}

// Drain waits until the fabric sends no more datagrams.
func (b *Balancer) Drain(ctx context.Context) {
	b.isDraining.Store(true)
	b.lastDatagram.Store(time.Now().UnixNano())
	ticker := time.NewTicker(quietPeriod / 10)
	defer ticker.Stop()
	for time.Since(time.Unix(0, b.lastDatagram.Load())) < quietPeriod {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// ServeStream knows no requests.
func (b *Balancer) ServeStream(context.Context, *wire.Request, net.Conn) bool {
	return false
}

// Health fails while the balancer drains, so that the fabric moves on.
func (b *Balancer) Health() error {
	if b.isDraining.Load() {
		return Error.New("draining")
	}
	return nil
}

// Details says which services the balancer takes datagrams for.
func (b *Balancer) Details() []string {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var lines []string
	for _, l := range b.listeners {
		lines = append(lines, l.describe())
	}
	return lines
}

// forwardReplies sends agents' replies on to the callers.
func (b *Balancer) forwardReplies(ctx context.Context) error {
	buffer := make([]byte, envelope.MaxBytes)
	message := new(wire.Envelope)
	for {
		n, from, err := b.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			continue
		}
		if err := b.sealer.Open(buffer[:n], message); err != nil {
			b.metrics.dropped.WithLabelValues(string(dropForged)).Inc()
			continue
		}
		b.handle(from, message)
	}
}

func (b *Balancer) handle(_ netip.AddrPort, message *wire.Envelope) {
	switch message.Kind {
	case wire.Envelope_KIND_REPLY:
		b.reply(message)
	default:
		b.metrics.dropped.WithLabelValues(string(dropUnexpected)).Inc()
	}
}

func (b *Balancer) reply(message *wire.Envelope) {
	caller, ok := envelope.UnpackAddress(message.Caller)
	b.mu.RLock()
	l := b.listeners[message.Service]
	b.mu.RUnlock()
	if !ok || l == nil {
		b.metrics.dropped.WithLabelValues(string(dropUnexpected)).Inc()
		return
	}
	if _, err := l.conn.WriteToUDPAddrPort(message.Payload, caller); err != nil {
		b.metrics.dropped.WithLabelValues(string(dropSendFailed)).Inc()
		return
	}
	b.metrics.replies.Inc()
}
