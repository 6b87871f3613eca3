// Package once implements at-most-once execution at the agent that issued an
// idempotency key: it decides whether the request with that key may run, and keeps the
// result.
//
// The ledger is a pure state machine: time is passed in, counted from the creation of
// the ledger, and it does no I/O. A key only moves forward, from unused to running or
// void, and from running to finished or void. A key that is void or finished never
// runs. A request that was refused as not run leaves its key void, so that a later
// copy of it cannot run and make the refusal false.
package once

import (
	"container/list"
	"net/http"
	"sync"
	"time"
)

// ID identifies an idempotency key.
type ID [16]byte

// ContentDigest is the digest of a request's method, target and body.
type ContentDigest [32]byte

// Answer is the complete answer of an endpoint.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

const (
	// answerOverhead is the number of bytes counted for each answer in addition to its
	// content.
	answerOverhead = 512
	// fieldOverhead is the number of bytes counted for each header field in addition
	// to its content.
	fieldOverhead = 32
)

func (a *Answer) size() int {
	size := answerOverhead + len(a.Body)
	for name, values := range a.Header {
		for _, value := range values {
			size += len(name) + len(value) + fieldOverhead
		}
	}
	return size
}

// State is the state of the request with a key.
type State uint8

const (
	// StateUnused means that nothing ran, and the request may start.
	StateUnused State = iota
	// StateRunning means that the request waits for a slot or runs.
	StateRunning
	// StateVoid means that the request did not run and never will.
	StateVoid
	// StateFinished means that the request ran and its answer is stored.
	StateFinished
	// StateNotKept means that the request ran and its answer is not stored.
	StateNotKept
	// StateUnknown means that the request may have run.
	StateUnknown
	// StateMismatch means that the key was used with different content.
	StateMismatch
)

// Limits are the limits of a ledger.
type Limits struct {
	// KeyLifetime is how long a new key may be used to start a request.
	KeyLifetime time.Duration
	// Retention is how long a record is kept after the key has expired and the request
	// has ended.
	Retention time.Duration
	// Runs is the maximum number of records of requests that started.
	Runs int
	// Voids is the maximum number of records of void keys.
	Voids int
	// AnswerBytes is the maximum size of a stored answer.
	AnswerBytes int
	// TotalBytes is the maximum size of all stored answers together.
	TotalBytes int
}

// DefaultLimits are the limits used by an agent.
var DefaultLimits = Limits{
	KeyLifetime: time.Minute,
	Retention:   2 * time.Minute,
	Runs:        1 << 16,
	Voids:       1 << 16,
	AnswerBytes: 256 << 10,
	TotalBytes:  8 << 20,
}

// record is the ledger's entry for one key.
type record struct {
	id      ID
	state   State
	content ContentDigest
	answer  *Answer
	size    int
	expires time.Duration
	// hasStarted is false for a key that became void without having been used.
	hasStarted bool
	// done is closed and set to nil when the request is no longer running.
	done chan struct{}
	// answerElement is the record's element in the list of stored answers, oldest
	// first.
	answerElement *list.Element
}

// Ledger holds the records of one agent. It is safe for concurrent use.
type Ledger struct {
	limits Limits

	mu      sync.Mutex
	records map[ID]*record
	// expiring holds the records that are not running, in order of expiry.
	expiring *list.List
	answers  *list.List
	bytes    int
	runs     int
	voids    int
}

// NewLedger returns an empty ledger.
func NewLedger(limits Limits) *Ledger {
	return &Ledger{limits: limits, records: make(map[ID]*record), expiring: list.New(), answers: list.New()}
}

// Limits returns the limits of the ledger.
func (l *Ledger) Limits() Limits {
	return l.limits
}

// Result is what the ledger has recorded for a key.
type Result struct {
	State State
	// Answer is set in StateFinished. It must not be modified.
	Answer *Answer
	// Done is set in StateRunning and is closed when the request ends.
	Done <-chan struct{}
}

// Begin starts the request with a key. Only a caller that gets hasStarted may run the
// request, and it must then call exactly one of Finish, FinishNotKept, FinishUnknown
// and Void. Otherwise the result contains the state of the key.
func (l *Ledger) Begin(now time.Duration, id ID, expires time.Duration, content ContentDigest) (result Result, hasStarted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evictExpiredLocked(now)
	if known, ok := l.records[id]; ok {
		return known.result(content), false
	}
	if now >= expires {
		return Result{State: l.stateOfExpired(now, expires)}, false
	}
	if l.runs >= l.limits.Runs {
		return l.voidLocked(now, id, expires), false
	}
	started := &record{id: id, state: StateRunning, hasStarted: true, content: content, expires: expires, done: make(chan struct{})}
	l.records[id] = started
	l.runs++
	return started.result(content), true
}

// stateOfExpired returns the state of an expired key without a record. Every key that
// was used has a record at least until Retention has passed since the key's expiry, so
// a key without a record was not used if that time has not passed.
func (l *Ledger) stateOfExpired(now, expires time.Duration) State {
	if now < expires+l.limits.Retention {
		return StateVoid
	}
	return StateUnknown
}

// Resolve returns the state of a key, and makes the key void if it is unused.
func (l *Ledger) Resolve(now time.Duration, id ID, expires time.Duration, content ContentDigest) Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evictExpiredLocked(now)
	if known, ok := l.records[id]; ok {
		return known.result(content)
	}
	if now >= expires {
		return Result{State: l.stateOfExpired(now, expires)}
	}
	return l.voidLocked(now, id, expires)
}

// voidLocked makes an unused key void. If there is no room for the record, the key
// could still run later, so the state is unknown.
func (l *Ledger) voidLocked(now time.Duration, id ID, expires time.Duration) Result {
	if l.voids >= l.limits.Voids {
		return Result{State: StateUnknown}
	}
	void := &record{id: id, state: StateVoid, expires: expires}
	l.records[id] = void
	l.voids++
	l.scheduleLocked(now, void)
	return Result{State: StateVoid}
}

func (r *record) result(content ContentDigest) Result {
	if r.state == StateVoid {
		return Result{State: StateVoid}
	}
	if r.content != content {
		return Result{State: StateMismatch}
	}
	return Result{State: r.state, Answer: r.answer, Done: r.done}
}

// Finish stores the answer of a request that ran.
func (l *Ledger) Finish(now time.Duration, id ID, answer *Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.finishLocked(now, id, StateNotKept)
	if r == nil || answer.size() > l.limits.AnswerBytes {
		return
	}
	r.state = StateFinished
	r.answer = answer
	r.size = answer.size()
	r.answerElement = l.answers.PushBack(r)
	l.bytes += r.size
	for l.bytes > l.limits.TotalBytes {
		l.dropAnswerLocked(l.answers.Front().Value.(*record))
	}
}

// FinishNotKept records that the request ran and that its answer is not stored.
func (l *Ledger) FinishNotKept(now time.Duration, id ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finishLocked(now, id, StateNotKept)
}

// FinishUnknown records that it is unknown whether the request ran.
func (l *Ledger) FinishUnknown(now time.Duration, id ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finishLocked(now, id, StateUnknown)
}

// Void records that the request did not run. Its key can never run again.
func (l *Ledger) Void(now time.Duration, id ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finishLocked(now, id, StateVoid)
}

func (l *Ledger) finishLocked(now time.Duration, id ID, state State) *record {
	r := l.records[id]
	if r == nil || r.state != StateRunning {
		return nil
	}
	r.state = state
	close(r.done)
	r.done = nil
	l.scheduleLocked(now, r)
	return r
}

// scheduleLocked appends a record that is not running to the expiry list. A key lives
// for KeyLifetime at most, so that the expiry computed now is no earlier than that of
// all records before it.
func (l *Ledger) scheduleLocked(now time.Duration, r *record) {
	r.expires = max(r.expires, now+l.limits.KeyLifetime) + l.limits.Retention
	l.expiring.PushBack(r)
}

// evictExpiredLocked removes expired records. A key expires long before its record, so
// that removing the record never lets the key run again.
func (l *Ledger) evictExpiredLocked(now time.Duration) {
	for front := l.expiring.Front(); front != nil; front = l.expiring.Front() {
		r := front.Value.(*record)
		if now < r.expires {
			return
		}
		l.expiring.Remove(front)
		l.dropAnswerLocked(r)
		delete(l.records, r.id)
		if r.hasStarted {
			l.runs--
		} else {
			l.voids--
		}
	}
}

func (l *Ledger) dropAnswerLocked(r *record) {
	if r.answerElement == nil {
		return
	}
	l.answers.Remove(r.answerElement)
	l.bytes -= r.size
	r.answerElement, r.answer, r.size = nil, nil, 0
	r.state = StateNotKept
}

// Usage returns the number of records and the total size of stored answers in bytes.
func (l *Ledger) Usage() (records, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records), l.bytes
}
