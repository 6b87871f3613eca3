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
	// sendQueueLength is the capacity of the send queue of one member. Messages that
	// do not fit are dropped, which the consensus protocol tolerates.
	sendQueueLength = 256
	// maxPartBytes is the maximum size of the parts that a message is split into, one per
	// frame.
	maxPartBytes = 1 << 20
	// maxMessageBytes is the maximum size of a message that is reassembled from its parts.
	maxMessageBytes = 128 << 20
	redialInterval  = 100 * time.Millisecond
	// minRedialInterval is the minimum time between dials of a member that sends messages
	// but accepts no link.
	minRedialInterval = 20 * time.Millisecond
	// dialTimeout is short because a machine that is off does not answer, and the
	// kernel retransmits its SYN only after 1 s.
	dialTimeout  = 300 * time.Millisecond
	writeTimeout = 2 * time.Second
	// maxQueueTime is the maximum age of a message when its link is established. Older
	// messages belong to an election that is over, or carry entries that are sent
	// again anyway.
	maxQueueTime = consensus.HeartbeatInterval
	// maxSenders is the maximum number of members, present and former, that have a sender.
	maxSenders = 64
)

// transport sends consensus messages to the other members, over one link and
// stream per member.
type transport struct {
	ctx  context.Context
	dial func(ctx context.Context, address string) (memberLink, error)
	log  *log.Logger
	id   uint64
	// address is the link address of this instance, which its messages carry.
	address string

	mu      sync.Mutex
	senders map[uint64]*sender
}

// sender queues and sends the messages to one member.
type sender struct {
	address string
	queue   chan queuedMessage
	cancel  context.CancelFunc
	// received holds a token after a message from the member has been received.
	received chan struct{}
	// isUp is the state of the link that was last logged.
	isUp bool
	// namedAt is when the group or a message of the member last named its address.
	namedAt time.Time
}

// memberLink is a link over which messages are sent to one member.
type memberLink interface {
	Send(m *wire.ConsensusMessage) error
	// Done returns a channel that is closed when the link is closed.
	Done() <-chan struct{}
	Close() error
}

// session is the memberLink of a yamux session with one stream.
type session struct {
	*yamux.Session
	stream *yamux.Stream
}

// dialMember opens a link to a member and a stream on it for messages from the
// instance with the ID from.
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

// updateMemberAddress starts a sender for a member, or replaces the one with another
// address. It ignores the address of this instance. Beyond maxSenders it stops the sender of
// the member that was not named for the longest time: one that has left the group.
func (t *transport) updateMemberAddress(id uint64, address string) {
	if id == t.id || address == "" || address == t.address {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	existing := t.senders[id]
	if existing != nil && existing.address == address {
		existing.namedAt = time.Now()
		return
	}
	if existing != nil {
		existing.cancel()
	} else if len(t.senders) >= maxSenders {
		t.stopOldest()
	}
	ctx, cancel := context.WithCancel(t.ctx)
	s := &sender{address: address, queue: make(chan queuedMessage, sendQueueLength), cancel: cancel, received: make(chan struct{}, 1), namedAt: time.Now()}
	t.senders[id] = s
	go t.runSender(ctx, s)
}

// stopOldest stops the sender whose member was not named for the longest time. The caller
// holds the lock.
func (t *transport) stopOldest() {
	var oldest uint64
	var found *sender
	for id, s := range t.senders {
		if found == nil || s.namedAt.Before(found.namedAt) {
			oldest, found = id, s
		}
	}
	found.cancel()
	delete(t.senders, oldest)
}

// notifyReceived reports that a message from a member has been received, so that its
// sender dials again at once. A machine that has just started does not answer a
// dial that began before.
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
		conn, err := t.open(ctx, s)
		if err == nil {
			t.logLinkState(s, nil)
			err = sendQueued(ctx, conn, s)
			conn.Close()
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

// logLinkState logs when the link to a member is established or lost.
func (t *transport) logLinkState(s *sender, err error) {
	if t.ctx.Err() != nil || s.isUp == (err == nil) {
		return
	}
	s.isUp = err == nil
	if s.isUp {
		t.log.Info().Str("member", s.address).Msg("link to control member established")
		return
	}
	t.log.Warn().Str("member", s.address).Err(err).Msg("link to control member lost")
}

// open dials a member. If a message from the member is received meanwhile, it stops
// the dial and dials once more.
func (t *transport) open(ctx context.Context, s *sender) (memberLink, error) {
	select {
	case <-s.received:
	default:
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	done := make(chan struct{})
	wasReceived := make(chan bool, 1)
	go func() {
		select {
		case <-done:
			wasReceived <- false
		case <-s.received:
			cancel()
			wasReceived <- true
		}
	}()
	conn, err := t.dial(dialCtx, s.address)
	close(done)
	if err == nil || !<-wasReceived {
		return conn, err
	}
	retryCtx, cancelRetry := context.WithTimeout(ctx, dialTimeout)
	defer cancelRetry()
	return t.dial(retryCtx, s.address)
}

// sendQueued sends queued messages until the link is closed or ctx is cancelled.
func sendQueued(ctx context.Context, conn memberLink, s *sender) error {
	oldest := time.Now().Add(-maxQueueTime)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-conn.Done():
			return Error.New("the control member has closed the link")
		case q := <-s.queue:
			if q.at.Before(oldest) {
				continue
			}
			if err := conn.Send(q.message); err != nil {
				return err
			}
		}
	}
}

// writeMessage writes a message as a sequence of frames with parts of at most
// maxPartBytes.
func writeMessage(stream net.Conn, m *wire.ConsensusMessage) error {
	data, err := proto.Marshal(m)
	if err != nil {
		return Error.Wrap(err)
	}
	for {
		part := data[:min(len(data), maxPartBytes)]
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

// readMessage reads frames up to the final one and reassembles their message.
func readMessage(stream net.Conn) (*wire.ConsensusMessage, error) {
	var data []byte
	for {
		frame := new(wire.ConsensusFrame)
		if err := link.ReadMessage(stream, frame); err != nil {
			return nil, err
		}
		if len(data)+len(frame.Part) > maxMessageBytes {
			return nil, Error.New("message over the limit of %d bytes", maxMessageBytes)
		}
		data = append(data, frame.Part...)
		if frame.Final {
			break
		}
	}
	m := new(wire.ConsensusMessage)
	return m, Error.Wrap(proto.Unmarshal(data, m))
}
