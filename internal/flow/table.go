package flow

import (
	"math"
	"slices"
	"time"
)

// Bounds of a table.
const (
	// maxFlows bounds the flows of one endpoint; it bears 2,000 in the largest
	// known deployment.
	maxFlows = 16_384
	// seqSlack is how far beyond what the agent has seen the endpoint may have
	// sent: 16 packets of 1,200 bytes in flight, and as many again.
	seqSlack = 32 * 1200
	// handshakeTime is how long a caller waits for the answer to its SYN.
	handshakeTime = 1400 * time.Millisecond
	// closedTime is how long a flow whose ends have both finished is remembered,
	// for the last acknowledgements and their copies.
	closedTime = 4 * time.Second
	// busyTime is how long a request counts as in flight while neither end sends.
	busyTime = 2 * time.Second
)

// Flow is a flow that the agent's endpoint has, or has been offered.
type Flow struct {
	Key Key
	// CallerAck is the last number that the caller acknowledged.
	CallerAck uint32

	// first is the number of the endpoint's SYN, when hasFirst is set.
	first    uint32
	hasFirst bool
	// highest is the end of what the endpoint has sent.
	highest uint32
	// isAdopted: the flow is older than the table, and first is only a number
	// that the endpoint has sent.
	isAdopted bool

	isOpen bool
	isBusy bool
	// isFresh: no request has come yet. The first one was counted with the SYN.
	isFresh bool
	// isAwaited: the endpoint has been given a SYN or data at awaitedAt, and has not
	// answered since.
	isAwaited                  bool
	awaitedAt                  time.Duration
	callerIsDone, endpointDone bool
	// isClosed: both ends have finished, and the endpoint holds the flow no more.
	isClosed bool
	seen     time.Duration
	// answeredAt is when the endpoint's SYN was seen, 0 of an adopted flow.
	answeredAt time.Duration
}

// Table holds the flows of an agent's one endpoint. It is not safe for
// concurrent use.
type Table struct {
	flows map[Key]*Flow
	// closed is how many of the flows are closed, and busy how many wait for an answer.
	closed, busy int
	// begun are the times of the requests of the last requestWindow.
	begun []time.Duration
	pace  ResponseTime
	// failures are the requests whose flows the endpoint reset.
	failures FailureRate
	// longest is the longest wait of a flow as of longestAt.
	longest, longestAt time.Duration
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{flows: make(map[Key]*Flow)}
}

// Len returns how many flows the table holds.
func (t *Table) Len() int { return len(t.flows) }

// Active returns how many flows the endpoint holds: all but those that are remembered
// for late packets only.
func (t *Table) Active() int { return len(t.flows) - t.closed }

// noteEnd notes that an end of the flow may have finished.
func (t *Table) noteEnd(f *Flow) {
	if f.callerIsDone && f.endpointDone && !f.isClosed {
		f.isClosed = true
		t.closed++
	}
}

// InFlight returns how many flows wait for an answer of the endpoint: an estimate
// of the requests in flight that needs no knowledge of what the flows carry.
func (t *Table) InFlight() int { return t.busy }

// Get returns a flow, or nil.
func (t *Table) Get(key Key) *Flow { return t.flows[key] }

// Offer notes that the endpoint is given the SYN of a flow. It returns nil when
// the table is full.
func (t *Table) Offer(now time.Duration, key Key) *Flow {
	f := t.flows[key]
	if f == nil {
		if len(t.flows) >= maxFlows {
			return nil
		}
		f = &Flow{Key: key, isFresh: true}
		t.flows[key] = f
		t.noteRequest(now)
	}
	f.seen = now
	t.await(now, f)
	return f
}

const (
	// requestWindow is the second in which a cold endpoint bears so many requests,
	// and the way between agent and endpoint.
	requestWindow = coldWindow + coldWindowSlack
	// maxBegun bounds the requests that are remembered: more than any endpoint of
	// the known deployments works on in a second.
	maxBegun = 4096
)

// noteRequest notes that the endpoint is given a request.
func (t *Table) noteRequest(now time.Duration) {
	t.forgetRequests(now)
	if len(t.begun) < maxBegun {
		t.begun = append(t.begun, now)
	}
}

func (t *Table) forgetRequests(now time.Duration) {
	old := 0
	for old < len(t.begun) && now-t.begun[old] >= requestWindow {
		old++
	}
	t.begun = slices.Delete(t.begun, 0, old)
}

// RecentRequests returns how many requests the endpoint was given within the last second, on
// new flows and open ones.
func (t *Table) RecentRequests(now time.Duration) int {
	t.forgetRequests(now)
	return len(t.begun)
}

// await notes that the endpoint is given something to answer.
func (t *Table) await(now time.Duration, f *Flow) {
	if !f.isAwaited {
		f.isAwaited, f.awaitedAt = true, now
	}
	t.setBusy(f, true)
}

// ResponseTime returns how long the endpoint has lately taken for the first byte of an answer.
func (t *Table) ResponseTime(now time.Duration) time.Duration { return t.pace.Mean(now) }

// FailureRate returns the share of requests that the endpoint has lately failed by
// a reset of their flow.
func (t *Table) FailureRate(now time.Duration) float64 { return t.failures.Value(now) }

// LongestWait returns for how long the flow has waited that has waited longest,
// for an answer to its SYN or to a request.
func (t *Table) LongestWait(now time.Duration) time.Duration {
	if now-t.longestAt >= longestAge {
		t.longest, t.longestAt = t.longestWait(now), now
	}
	return t.longest
}

// longestAge is how old the longest wait may be, since it costs a look at every flow.
const longestAge = 50 * time.Millisecond

func (t *Table) longestWait(now time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, f := range t.flows {
		if f.isAwaited {
			longest = max(longest, now-f.awaitedAt)
		}
	}
	return longest
}

// Refuse forgets a flow that the endpoint did not take.
func (t *Table) Refuse(key Key) {
	if f := t.flows[key]; f != nil && !f.isOpen {
		t.remove(f)
	}
}

// Remove forgets a flow.
func (t *Table) Remove(key Key) {
	if f := t.flows[key]; f != nil {
		t.remove(f)
	}
}

func (t *Table) remove(f *Flow) {
	t.setBusy(f, false)
	if f.isClosed {
		t.closed--
	}
	delete(t.flows, f.Key)
}

func (t *Table) setBusy(f *Flow, isBusy bool) {
	if isBusy && !f.isBusy {
		t.busy++
	} else if !isBusy && f.isBusy {
		t.busy--
	}
	f.isBusy = isBusy
	f.isAwaited = f.isAwaited && isBusy
}

// HandleCallerPacket notes a later packet of a caller and returns its flow. It returns
// nil when the packet does not belong to the agent's endpoint: the flow is not
// known, or the packet acknowledges what another endpoint has sent.
func (t *Table) HandleCallerPacket(now time.Duration, h *Header) *Flow {
	f := t.flows[h.KeyFromCaller()]
	if f == nil || !f.Matches(h) {
		return nil
	}
	f.seen = now
	if h.IsACK {
		f.CallerAck = h.Ack
	}
	f.isOpen = true
	if h.Length > 0 {
		if !f.isAwaited && !f.isFresh {
			t.noteRequest(now)
		}
		f.isFresh = false
		t.await(now, f)
	}
	if h.IsFIN {
		f.callerIsDone = true
		t.noteEnd(f)
	}
	if h.IsRST {
		t.remove(f)
	}
	return f
}

// Matches reports whether a caller's packet answers this agent's endpoint. Two
// endpoints may have answered copies of one SYN; the caller goes on with one.
func (f *Flow) Matches(h *Header) bool {
	if !f.hasFirst {
		return false
	}
	if !h.IsACK {
		return true
	}
	if f.isAdopted {
		distance := int32(h.Ack - f.highest)
		return distance > -maxUnseen && distance < maxUnseen
	}
	sent := f.highest - f.first
	return h.Ack-f.first <= sent+seqSlack
}

// maxUnseen is how far the numbers of an adopted flow may lie from those seen.
const maxUnseen = 1 << 20

// HandleEndpointPacket notes a packet of the endpoint and returns its flow. A flow that
// the table does not know is adopted: the agent has started after it.
func (t *Table) HandleEndpointPacket(now time.Duration, h *Header) *Flow {
	key := h.KeyFromEndpoint()
	f := t.flows[key]
	if f == nil {
		if h.IsRST || len(t.flows) >= maxFlows {
			return nil
		}
		f = &Flow{Key: key, isAdopted: !h.IsSYN, isOpen: !h.IsSYN}
		t.flows[key] = f
	}
	f.seen = now
	end := h.Seq + uint32(h.Length)
	if h.IsSYN || h.IsFIN {
		end++
	}
	if !f.hasFirst || h.IsSYN && !f.isOpen {
		f.first, f.highest, f.hasFirst = h.Seq, end, true
		f.isAdopted = !h.IsSYN
		if h.IsSYN {
			f.answeredAt = now
		}
	} else if int32(end-f.highest) > 0 {
		f.highest = end
	}
	if f.isAwaited && (h.Length > 0 || h.IsRST) {
		t.failures.Observe(now, h.IsRST)
	}
	if f.isAwaited && h.Length > 0 {
		t.pace.Observe(now, now-f.awaitedAt)
	}
	if h.Length > 0 || h.IsFIN {
		t.setBusy(f, false)
	} else if h.IsSYN {
		f.isAwaited = false
	}
	if h.IsFIN {
		f.endpointDone = true
		t.noteEnd(f)
	}
	if h.IsRST {
		t.remove(f)
	}
	return f
}

// Sweep forgets flows that have ended, never opened, or were idle so long that
// either end may forget them.
func (t *Table) Sweep(now, idleTimeout time.Duration) {
	for _, f := range t.flows {
		idle := now - f.seen
		switch {
		case f.isClosed && idle > closedTime,
			!f.isOpen && idle > handshakeTime+closedTime,
			idleTimeout > 0 && idle > idleTimeout+closedTime:
			t.remove(f)
		case f.isBusy && idle > busyTime:
			t.setBusy(f, false)
		}
	}
}

// Clear forgets all flows and returns those that were open, whose callers can
// be told that their endpoint is gone.
func (t *Table) Clear() []*Flow {
	open, _ := t.end(math.MaxInt64)
	return open
}

// ClearBefore follows an endpoint that has ended unnoticed, and was last heard at a time.
// It forgets the flows that began before and returns those that were open, as Clear
// does. The rest may be flows of the next endpoint; it bounces those that are not.
func (t *Table) ClearBefore(heardAt time.Duration) []*Flow {
	open, kept := t.end(heardAt)
	for _, f := range kept {
		// What it waits for may never come.
		f.isBusy, f.isAwaited = false, false
		t.flows[f.Key] = f
		if f.isClosed {
			t.closed++
		}
	}
	return open
}

// end empties the table and returns the open flows of those that began before a
// time, and all later ones that the endpoint has answered.
func (t *Table) end(before time.Duration) (open, later []*Flow) {
	for _, f := range t.flows {
		switch {
		case f.hasFirst && f.answeredAt > before:
			later = append(later, f)
		case f.isOpen && !f.isClosed:
			open = append(open, f)
		}
	}
	// Nothing that was seen of this endpoint says anything about the next.
	*t = *NewTable()
	return open, later
}
