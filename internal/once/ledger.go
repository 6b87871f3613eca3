// Package once decides at the agent that issued an idempotency key whether the
// request with that key may run, and keeps what became of it.
//
// The ledger is a pure state machine: time is passed in, counted from the
// ledger's making, and nothing is read or sent. A key moves only forward: it is
// unused, then running or void, then finished. A key that is void or finished
// never runs. A request that was refused as not run leaves its key void, so
// that no later copy of it makes the refusal false.
package once

import (
	"container/list"
	"net/http"
	"sync"
	"time"
)

// ID names a key.
type ID [16]byte

// ContentDigest is the digest of a request's method, target and body.
type ContentDigest [32]byte

// Answer is an endpoint's whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

const (
	// answerOverhead is counted for each answer on top of its content.
	answerOverhead = 512
	// fieldOverhead is counted for each header field on top of its bytes.
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

// State is what became of the request with a key.
type State uint8

// States.
const (
	// StateUnused: nothing ran; the request may start.
	StateUnused State = iota
	// StateRunning: the request waits for a slot or runs.
	StateRunning
	// StateVoid: the request did not run and never will.
	StateVoid
	// StateFinished: the request ran, and its answer is kept.
	StateFinished
	// StateNotKept: the request ran, and its answer is not kept.
	StateNotKept
	// StateUnknown: the request may have run.
	StateUnknown
	// StateMismatch: the key was used with other content.
	StateMismatch
)

// Limits bound a ledger.
type Limits struct {
	// KeyLifetime is how long a fresh key may start a request.
	KeyLifetime time.Duration
	// Retention is how long a record is kept after both the key's end of life
	// and the request's end.
	Retention time.Duration
	// Runs bounds the records of requests that started.
	Runs int
	// Voids bounds the records of void keys.
	Voids int
	// AnswerBytes bounds one kept answer.
	AnswerBytes int
	// TotalBytes bounds all kept answers together.
	TotalBytes int
}

// DefaultLimits are those of an agent.
var DefaultLimits = Limits{
	KeyLifetime: time.Minute,
	Retention:   2 * time.Minute,
	Runs:        1 << 16,
	Voids:       1 << 16,
	AnswerBytes: 256 << 10,
	TotalBytes:  8 << 20,
}

// record is what the ledger knows of one key.
type record struct {
	id      ID
	state   State
	content ContentDigest
	answer  *Answer
	size    int
	expires time.Duration
	// hasStarted is false for a key that was void from the beginning.
	hasStarted bool
	// done is closed when the request is no longer running, and dropped then.
	done chan struct{}
	// answerElement is the record's place among the answerElement answers, oldest first.
	answerElement *list.Element
}

// Ledger holds the records of one agent. It is safe for concurrent use.
type Ledger struct {
	limits Limits

	mu      sync.Mutex
	records map[ID]*record
	// expiring holds settled records in the order of their expiring.
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

// Result says what is known about a key.
type Result struct {
	State State
	// Answer is set in StateFinished; it must not be changed.
	Answer *Answer
	// Done is set in StateRunning and closed at its end.
	Done <-chan struct{}
}

// Begin starts the request with a key. Only a caller that gets hasStarted may
// run the request, and must then call exactly one of Finish, FinishUnkept,
// Lose and Void. Otherwise the result says what is known.
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

// stateOfExpired judges a key without a record. Until the retention has passed
// every key that was used has a record, so this one never started.
func (l *Ledger) stateOfExpired(now, expires time.Duration) State {
	if now < expires+l.limits.Retention {
		return StateVoid
	}
	return StateUnknown
}

// Resolve returns what is known about a key and makes a key that is unused void.
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

// voidLocked makes an unused key void. Without room for the record the key
// could still run, so nothing is claimed about it.
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

// Finish keeps the answer of a request that ran.
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

// FinishNotKept notes that the request ran and that its answer is not kept.
func (l *Ledger) FinishNotKept(now time.Duration, id ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finishLocked(now, id, StateNotKept)
}

// FinishUnknown notes that it is not known whether the request ran.
func (l *Ledger) FinishUnknown(now time.Duration, id ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finishLocked(now, id, StateUnknown)
}

// Void notes that the request did not run; its key never runs again.
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

// scheduleLocked puts a settled record into the order of forgetting. A key
// lives for KeyLife at most, so that of now holds for every record before.
func (l *Ledger) scheduleLocked(now time.Duration, r *record) {
	r.expires = max(r.expires, now+l.limits.KeyLifetime) + l.limits.Retention
	l.expiring.PushBack(r)
}

// evictExpiredLocked drops records whose time is up. A key has ended long before its
// record is dropped, so that forgetting never lets it run again.
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

// Usage returns how many records and how many bytes of answers are held.
func (l *Ledger) Usage() (records, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records), l.bytes
}
