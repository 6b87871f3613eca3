package control

import (
	"context"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"sassafrasturn.example/internal/link"
	"sassafrasturn.example/internal/pause"
	"sassafrasturn.example/internal/wire"
)

const (
	// sendQueueLength bounds the messages that wait for one member. What does
	// not fit is dropped, which the protocol bears.
	sendQueueLength = 256
	// frameBytes is the size of the parts that a large message is sent in.
	frameBytes = 1 << 20
	// maxMessageBytes bounds a message that is put together from its parts.
	maxMessageBytes = 128 << 20
	redialInterval  = 100 * time.Millisecond
	// dialTimeout is short, since a machine that is off does not answer and the
	// kernel asks it again only after a second.
	dialTimeout  = 300 * time.Millisecond
	writeTimeout = 2 * time.Second
	// maxSenders bounds the members that messages are sent to.
	maxSenders = 64
)

// transport carries consensus messages to the other members, over one link and
// stream for each.
type transport struct {
	ctx    context.Context
	dialer *link.Dialer
	id     uint64
	// address is the own link address, with which messages are sent.
	address string

	mu      sync.Mutex
	senders map[uint64]*sender
}

// sender carries messages to one member.
type sender struct {
	address string
	queue   chan *wire.ConsensusMessage
	cancel  context.CancelFunc
}

func newTransport(ctx context.Context, dialer *link.Dialer, id uint64, address string) *transport {
	return &transport{ctx: ctx, dialer: dialer, id: id, address: address, senders: make(map[uint64]*sender)}
}

// learn notes the address of a member.
func (t *transport) learn(id uint64, address string) {
	if id == t.id || address == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.senders[id]
	if held != nil && held.address == address {
		return
	}
	if held != nil {
		held.cancel()
	} else if len(t.senders) >= maxSenders {
		return
	}
	ctx, cancel := context.WithCancel(t.ctx)
	s := &sender{address: address, queue: make(chan *wire.ConsensusMessage, sendQueueLength), cancel: cancel}
	t.senders[id] = s
	go t.keepSending(ctx, s)
}

func (t *transport) send(m *wire.ConsensusMessage) {
	t.mu.Lock()
	s := t.senders[m.To]
	t.mu.Unlock()
	if s == nil {
		return
	}
	m.FromAddress = t.address
	select {
	case s.queue <- m:
	default:
	}
}

func (t *transport) keepSending(ctx context.Context, s *sender) {
	for ctx.Err() == nil {
		// The error says only how the link ended; it is dialed again whatever it was.
		_ = t.sendOnLink(ctx, s)
		pause.For(ctx, redialInterval)
	}
}

func (t *transport) sendOnLink(ctx context.Context, s *sender) error {
	dialing, cancel := context.WithTimeout(ctx, dialTimeout)
	session, err := t.dialer.Dial(dialing, s.address)
	cancel()
	if err != nil {
		return err
	}
	defer session.Close()
	s.dropWaiting()
	stream, err := session.Open()
	if err != nil {
		return Error.Wrap(err)
	}
	request := &wire.Request{Body: &wire.Request_Consensus{Consensus: &wire.ConsensusRequest{From: t.id}}}
	if err := link.WriteMessage(stream, request); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-session.CloseChan():
			return nil
		case m := <-s.queue:
			if err := writeMessage(stream, m); err != nil {
				return err
			}
		}
	}
}

// dropWaiting drops what was to be sent before there was a link: questions of
// elections that are over, and entries that are sent again anyway.
func (s *sender) dropWaiting() {
	for {
		select {
		case <-s.queue:
		default:
			return
		}
	}
}

// writeMessage sends a message in frames.
func writeMessage(stream net.Conn, m *wire.ConsensusMessage) error {
	data, err := proto.Marshal(m)
	if err != nil {
		return Error.Wrap(err)
	}
	for {
		part := data[:min(len(data), frameBytes)]
		data = data[len(part):]
		if err := stream.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return Error.Wrap(err)
		}
		if err := link.WriteMessage(stream, &wire.ConsensusFrame{Part: part, Final: len(data) == 0}); err != nil {
			return err
		}
		if len(data) == 0 {
			return nil
		}
	}
}

// readMessage puts a message together from its frames.
func readMessage(stream net.Conn) (*wire.ConsensusMessage, error) {
	var data []byte
	for {
		frame := new(wire.ConsensusFrame)
		if err := link.ReadMessage(stream, frame); err != nil {
			return nil, err
		}
		if len(data)+len(frame.Part) > maxMessageBytes {
			return nil, Error.New("message over %d bytes", maxMessageBytes)
		}
		data = append(data, frame.Part...)
		if frame.Final {
			break
		}
	}
	m := new(wire.ConsensusMessage)
	return m, Error.Wrap(proto.Unmarshal(data, m))
}
