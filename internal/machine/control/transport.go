package control

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/consensus"
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
	// minRedialInterval separates the dials of a member that is heard but takes no link.
	minRedialInterval = 20 * time.Millisecond
	// dialTimeout is short, since a machine that is off does not answer and the
	// kernel asks it again only after a second.
	dialTimeout  = 300 * time.Millisecond
	writeTimeout = 2 * time.Second
	// maxQueueTime is how long a message may have waited for a link: what is older is a
	// question of an election that is over, or entries that are sent again anyway.
	maxQueueTime = consensus.HeartbeatInterval
	// maxSenders bounds the members that messages are sent to.
	maxSenders = 64
)

// transport carries consensus messages to the other members, over one link and
// stream for each.
type transport struct {
	ctx  context.Context
	dial func(ctx context.Context, address string) (memberLink, error)
	log  *log.Logger
	id   uint64
	// address is the own link address, with which messages are sent.
	address string

	mu      sync.Mutex
	senders map[uint64]*sender
}

// sender carries messages to one member.
type sender struct {
	address string
	queue   chan queuedMessage
	cancel  context.CancelFunc
	// received holds a token once the member has been received.
	received chan struct{}
	// isUp: there was a link when this was last logged.
	isUp bool
}

// memberLink carries messages to one member.
type memberLink interface {
	Send(m *wire.ConsensusMessage) error
	// Done is closed once the link has ended.
	Done() <-chan struct{}
	Close() error
}

// session is a link with one stream for messages.
type session struct {
	*yamux.Session
	stream *yamux.Stream
}

// dialMember opens a link for the messages of a member.
func dialMember(ctx context.Context, dialer *link.Dialer, address string, from uint64) (memberLink, error) {
	opened, err := dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	stream, err := opened.OpenStream()
	if err != nil {
		opened.Close()
		return nil, Error.Wrap(err)
	}
	request := &wire.Request{Body: &wire.Request_Consensus{Consensus: &wire.ConsensusRequest{From: from}}}
	if err := link.WriteMessage(stream, request); err != nil {
		opened.Close()
		return nil, err
	}
	return &session{Session: opened, stream: stream}, nil
}

func (s *session) Send(m *wire.ConsensusMessage) error { return writeMessage(s.stream, m) }

func (s *session) Done() <-chan struct{} { return s.CloseChan() }

type queuedMessage struct {
	message *wire.ConsensusMessage
	at      time.Time
}

// updateMemberAddress notes the address of a member.
func (t *transport) updateMemberAddress(id uint64, address string) {
	if id == t.id || address == "" || address == t.address {
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
	s := &sender{address: address, queue: make(chan queuedMessage, sendQueueLength), cancel: cancel, received: make(chan struct{}, 1)}
	t.senders[id] = s
	go t.runSender(ctx, s)
}

// notifyReceived notes that a member has been heard: a machine that has just come up does
// not answer a dial that began before.
func (t *transport) notifyReceived(id uint64) {
	t.mu.Lock()
	s := t.senders[id]
	t.mu.Unlock()
	if s == nil {
		return
	}
	select {
	case s.received <- struct{}{}:
	default:
	}
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
	case s.queue <- queuedMessage{message: m, at: time.Now()}:
	default:
	}
}

func (t *transport) runSender(ctx context.Context, s *sender) {
	for ctx.Err() == nil {
		opened, err := t.open(ctx, s)
		if err == nil {
			t.logLinkState(s, nil)
			err = sendQueued(ctx, opened, s)
			opened.Close()
		}
		t.logLinkState(s, err)
		if !pause.For(ctx, minRedialInterval) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialInterval - minRedialInterval):
		case <-s.received:
		}
	}
}

// logLinkState logs when the link to a member is lost and regained.
func (t *transport) logLinkState(s *sender, err error) {
	if t.ctx.Err() != nil || s.isUp == (err == nil) {
		return
	}
	s.isUp = err == nil
	if s.isUp {
		t.log.Info().Str("member", s.address).Msg("link to control member is up")
		return
	}
	t.log.Warn().Str("member", s.address).Err(err).Msg("link to control member is lost")
}

// open dials a member, and dials it once more when it is heard meanwhile.
func (t *transport) open(ctx context.Context, s *sender) (memberLink, error) {
	select {
	case <-s.received:
	default:
	}
	dialing, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	ended := make(chan struct{})
	isHeard := make(chan bool, 1)
	go func() {
		select {
		case <-ended:
			isHeard <- false
		case <-s.received:
			cancel()
			isHeard <- true
		}
	}()
	opened, err := t.dial(dialing, s.address)
	close(ended)
	if err == nil || !<-isHeard {
		return opened, err
	}
	again, cancelAgain := context.WithTimeout(ctx, dialTimeout)
	defer cancelAgain()
	return t.dial(again, s.address)
}

// sendQueued sends what is queued until the link or ctx ends.
func sendQueued(ctx context.Context, to memberLink, s *sender) error {
	oldest := time.Now().Add(-maxQueueTime)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-to.Done():
			return Error.New("the member has closed the link")
		case q := <-s.queue:
			if q.at.Before(oldest) {
				continue
			}
			if err := to.Send(q.message); err != nil {
				return err
			}
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
