package exchange

import (
	"sync"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/wire"
)

// Error is the class of this package's errors.
var Error = errs.Class("exchange")

const (
	// HeartbeatInterval is the longest time that a session sends no message.
	HeartbeatInterval = time.Second
	// receiveTimeout ends a session that receives no message. A message that
	// is read after a longer gap was written before the gap and may be stale,
	// so it is rejected.
	receiveTimeout = 3500 * time.Millisecond
	// summaryInterval is the time between comparisons with a peer.
	summaryInterval = 3 * time.Second
	// largePullBuckets is the number of buckets from which a pull is subject to
	// the pull limiter.
	largePullBuckets = bucketCount / 8
)

// Session is one end of an exchange with a peer. It does no I/O: Receive
// processes incoming messages and Collect returns the messages to send.
type Session struct {
	store   *Store
	outbox  *outbox
	unwatch func()

	mu sync.Mutex
	// ownSubscription is what this end subscribes to, or nil for all records.
	ownSubscription *wire.Subscription
	// peerHello is the hello of the peer, or nil until it is received.
	peerHello *wire.Hello
	// filter is nil for a peer that receives all records.
	filter *filter
	// queue contains the messages to send before any records.
	queue        []*wire.Exchange
	hello        *wire.Hello
	lastReceived time.Time
	lastSent     time.Time
	nextSummary  time.Time
}

// NewSession starts the exchange of a store with one peer. hello names this end
// and its subscription.
func NewSession(now time.Time, store *Store, hello *wire.Hello) *Session {
	s := &Session{store: store, outbox: newOutbox(), hello: hello, ownSubscription: hello.Subscription, lastReceived: now, lastSent: now, nextSummary: now.Add(summaryInterval)}
	s.queue = append(s.queue, s.openingMessage())
	s.unwatch = store.watch(s.onChange)
	return s
}

// openingMessage returns the first message. It contains the hello of this end and
// the versions or the digest of its records.
func (s *Session) openingMessage() *wire.Exchange {
	message := &wire.Exchange{Hello: s.hello}
	if s.ownSubscription != nil {
		message.Pull = &wire.Pull{Versions: versionsOf(s.store.List())}
	} else {
		message.Digest = &wire.Digest{Sums: s.store.digest()}
	}
	return message
}

// Close ends the session.
func (s *Session) Close() {
	s.unwatch()
}

// Peer returns the name of the peer, or "" before its hello was received, and
// whether the peer subscribes to only a part of the records.
func (s *Session) Peer() (instance string, isPartial bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peerHello.GetInstance(), s.peerHello.GetSubscription() != nil
}

// Subscribe changes the subscription of this end.
func (s *Session) Subscribe(subscription *wire.Subscription) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if proto.Equal(s.ownSubscription, subscription) {
		return
	}
	s.ownSubscription = subscription
	s.hello = &wire.Hello{Instance: s.hello.Instance, Subscription: subscription}
	s.queue = append(s.queue, s.openingMessage())
	s.outbox.signal()
}

// onChange queues changed records for the peer. Records that this instance has
// pulled are not queued, because most peers already have them. Instead, the
// new total is sent at once, and a peer with a different total starts a
// comparison. Agents do not compare totals, so for them all changes are queued.
func (s *Session) onChange(changed []*wire.Record, from origin) {
	if from.session == s {
		return
	}
	s.mu.Lock()
	if from.isAnswer && s.filter == nil {
		s.nextSummary = time.Time{}
		s.mu.Unlock()
		s.outbox.signal()
		return
	}
	wanted := s.wantedLocked(changed)
	s.mu.Unlock()
	s.outbox.enqueue(wanted)
}

// wantedLocked returns the records to send to the peer. An end with a
// subscription sends only its own records. Leases are excluded: instances
// request them from each other, because the age of a buffered record is unknown.
func (s *Session) wantedLocked(records []*wire.Record) []*wire.Record {
	var wanted []*wire.Record
	for _, record := range records {
		if record.Kind == wire.Record_KIND_LEASE || s.ownSubscription != nil && record.Key != s.hello.Instance {
			continue
		}
		if s.filter == nil || s.filter.matches(record) {
			wanted = append(wanted, record)
		}
	}
	return wanted
}

// Receive processes a message from the peer. An error ends the session.
func (s *Session) Receive(now time.Time, message *wire.Exchange) error {
	if err := s.recordReceived(now); err != nil {
		return err
	}
	if len(message.Records) > maxRecordsPerMessage {
		return Error.New("message with %d records, at most %d are allowed", len(message.Records), maxRecordsPerMessage)
	}
	s.store.recordReceived(now)
	if message.Hello != nil {
		if err := s.handleHello(message.Hello); err != nil {
			return err
		}
	}
	if len(message.Records) > 0 {
		s.outbox.discardKnown(message.Records)
		s.store.merge(now, message.Records, origin{session: s, isAnswer: message.AnswersPull})
	}
	s.compare(now, message)
	return s.answerPull(message.Pull)
}

// recordReceived updates the time of the last message. It returns an error if
// the gap before this message was longer than receiveTimeout.
func (s *Session) recordReceived(now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	gap := now.Sub(s.lastReceived)
	s.lastReceived = now
	if gap > receiveTimeout {
		return Error.New("message received after a gap of %v, at most %v is allowed", gap, receiveTimeout)
	}
	return nil
}

func (s *Session) handleHello(hello *wire.Hello) error {
	if hello.Instance == "" || len(hello.Instance) > maxKeyBytes {
		return Error.New("hello with an instance name of %d bytes, 1 to %d are allowed", len(hello.Instance), maxKeyBytes)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	isFirst := s.peerHello == nil
	s.peerHello = hello
	s.filter = nil
	if hello.Subscription != nil {
		s.filter = newFilter(s.store, hello.Subscription)
	}
	if isFirst {
		s.outbox.enqueue(s.wantedLocked(s.ownRecords()))
	}
	return nil
}

// ownRecords returns the records of this end if it has a subscription. They are
// sent unrequested, because such an end sends no digest that a peer could pull from.
func (s *Session) ownRecords() []*wire.Record {
	if s.ownSubscription == nil {
		return nil
	}
	var records []*wire.Record
	for kind := range maxKind + 1 {
		if own := s.store.getAny(recordKey{kind: kind, key: s.hello.Instance}); own != nil {
			records = append(records, own)
		}
	}
	return records
}

// compare compares the total and the digest of the peer with the own records. On
// a different total it sends the own digest, on a different digest it pulls.
func (s *Session) compare(now time.Time, message *wire.Exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ownSubscription != nil || s.filter != nil {
		return
	}
	if message.HasTotal && message.Total != s.store.total() {
		s.enqueueLocked(&wire.Exchange{Digest: &wire.Digest{Sums: s.store.digest()}})
	}
	if message.Digest != nil {
		s.pullLocked(now, message.Digest.Sums)
	}
}

// pullLocked requests the buckets whose sums differ.
func (s *Session) pullLocked(now time.Time, sums []uint64) {
	if len(sums) != bucketCount {
		return
	}
	var buckets []uint32
	for i, sum := range s.store.digest() {
		if sum != sums[i] {
			buckets = append(buckets, uint32(i))
		}
	}
	if len(buckets) == 0 || len(buckets) >= largePullBuckets && !s.store.largePulls.allow(now) {
		return
	}
	versions := versionsOf(s.store.inBuckets(buckets))
	s.enqueueLocked(&wire.Exchange{Pull: &wire.Pull{Buckets: buckets, Versions: versions}})
}

// enqueueLocked queues a message, or drops it when the queue is full. A correct
// peer sends no further request before the last one is answered, so a full
// queue is caused by a misbehaving peer.
func (s *Session) enqueueLocked(message *wire.Exchange) {
	const maxQueued = 16
	if len(s.queue) < maxQueued {
		s.queue = append(s.queue, message)
	}
	s.outbox.signal()
}

// answerPull queues the records that a pull requests.
func (s *Session) answerPull(pull *wire.Pull) error {
	if pull == nil {
		return nil
	}
	if len(pull.Versions) > maxVersionsPerPull || len(pull.Buckets) > bucketCount {
		return Error.New("pull of %d buckets with %d versions, at most %d buckets and %d versions are allowed", len(pull.Buckets), len(pull.Versions), bucketCount, maxVersionsPerPull)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var records []*wire.Record
	if s.filter != nil {
		records = s.filter.list()
	} else {
		records = s.store.inBuckets(pull.Buckets)
	}
	s.outbox.enqueueAnswers(s.wantedLocked(newerThan(records, pull.Versions)))
	return nil
}

// Collect returns the messages that are due at now, a heartbeat included.
func (s *Session) Collect(now time.Time) []*wire.Exchange {
	s.mu.Lock()
	defer s.mu.Unlock()
	messages := s.queue
	s.queue = nil
	changes, answers := s.outbox.drain()
	for _, batch := range batches(changes) {
		messages = append(messages, &wire.Exchange{Records: batch})
	}
	for _, batch := range batches(answers) {
		messages = append(messages, &wire.Exchange{Records: batch, AnswersPull: true})
	}
	s.store.traffic.sentRecords.Add(uint64(len(changes) + len(answers)))
	if !now.Before(s.nextSummary) {
		s.nextSummary = now.Add(summaryInterval)
		messages = append(messages, s.summaryLocked())
	}
	if len(messages) == 0 && now.Sub(s.lastSent) >= HeartbeatInterval {
		messages = append(messages, new(wire.Exchange))
	}
	if len(messages) > 0 {
		s.lastSent = now
	}
	return messages
}

// summaryLocked returns the periodic message that lets the peer find records
// that differ although all changes were sent.
func (s *Session) summaryLocked() *wire.Exchange {
	if s.ownSubscription != nil {
		return &wire.Exchange{Pull: &wire.Pull{Versions: versionsOf(s.store.List())}}
	}
	if s.filter != nil {
		return new(wire.Exchange)
	}
	return &wire.Exchange{HasTotal: true, Total: s.store.total()}
}

// isTimedOut reports whether no message was received for receiveTimeout.
func (s *Session) isTimedOut(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.lastReceived) > receiveTimeout
}
