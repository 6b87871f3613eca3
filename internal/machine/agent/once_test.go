package agent

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/admit"
	"sassafrasturn.example/internal/problem"
)

func TestOrderNeedsKeyAndRunsOnce(t *testing.T) {
	g := NewWithT(t)
	endpoint, address := startOrderEndpoint(t, nil)
	f := newProxyFixture(t, "a", address)

	refused, _ := f.do(newOrder("one"), "")
	g.Expect(refused.Code).To(Equal(http.StatusPreconditionRequired))
	g.Expect(ranOf(t, refused)).To(Equal(problem.RanNo))
	refused, _ = f.do(newOrder("one"), `"a key that no agent issued"`)
	g.Expect(refused.Code).To(Equal(http.StatusPreconditionRequired))
	g.Expect(endpoint.total()).To(BeZero())

	key := refused.Header().Get(keyHeader)
	for range 3 {
		answer, _ := f.do(newOrder("one"), key)
		g.Expect(answer.Code).To(Equal(http.StatusOK))
		g.Expect(answer.Body.String()).To(Equal("done one"))
		g.Expect(answer.Header().Get("Content-Type")).To(Equal("text/plain"))
	}
	mismatch, _ := f.do(newOrder("two"), key)
	g.Expect(mismatch.Code).To(Equal(http.StatusUnprocessableEntity))
	forged, _ := f.do(newOrder("one"), key[:len(key)-4]+`abc"`)
	g.Expect(ranOf(t, forged)).To(Equal(problem.RanUnknown))
	g.Expect(endpoint.runs).To(Equal(map[string]int{"one": 1}))
}

func TestConcurrentCopiesOfAnOrderRunOnce(t *testing.T) {
	g := NewWithT(t)
	arrived, release := make(chan struct{}, 5), make(chan struct{})
	endpoint, address := startOrderEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		arrived <- struct{}{}
		<-release
		io.WriteString(w, "done")
	})
	owner, other := newProxyFixture(t, "a", address), newProxyFixture(t, "b", address)
	key := owner.fetchKey(t)
	var wait sync.WaitGroup
	wait.Go(func() {
		answer, _ := owner.do(newOrder("one"), key)
		g.Expect(answer.Body.String()).To(Equal("done"))
	})
	<-arrived
	for _, f := range []*proxyFixture{owner, other, owner, other} {
		wait.Go(func() {
			answer, _ := f.do(newOrder("one"), key)
			g.Expect(answer.Body.String()).To(Equal("done"))
		})
	}
	close(release)
	wait.Wait()
	g.Expect(endpoint.total()).To(Equal(1))
}

// TestOtherAgentQueriesOwner covers the owner's responses, an owner that has
// restarted and one that is unreachable.
func TestOtherAgentQueriesOwner(t *testing.T) {
	endpoint, address := startOrderEndpoint(t, nil)
	table := []struct {
		name   string
		before func(owner *proxyFixture, key string)
		status int
		ran    problem.Ran
		runs   int
	}{
		{"finished", func(owner *proxyFixture, key string) { owner.do(newOrder("order"), key) }, http.StatusOK, "", 1},
		{"finished with other content", func(owner *proxyFixture, key string) { owner.do(newOrder("other"), key) }, http.StatusUnprocessableEntity, problem.RanUnknown, 1},
		{"never started", func(*proxyFixture, string) {}, http.StatusPreconditionRequired, problem.RanNo, 0},
		{"restarted after the run", func(owner *proxyFixture, key string) {
			owner.do(newOrder("order"), key)
			owner.restart(t)
		}, http.StatusBadGateway, problem.RanUnknown, 1},
		{"restarted before the run", func(owner *proxyFixture, _ string) { owner.restart(t) }, http.StatusBadGateway, problem.RanUnknown, 0},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			g := NewWithT(t)
			owner, other := newProxyFixture(t, "a", address), newProxyFixture(t, "b", address)
			key := owner.fetchKey(t)
			before := endpoint.total()
			row.before(owner, key)
			answer, _ := other.do(newOrder("order"), key)
			g.Expect(answer.Code).To(Equal(row.status))
			if row.ran != "" {
				g.Expect(ranOf(t, answer)).To(Equal(row.ran))
			}
			g.Expect(endpoint.total() - before).To(Equal(row.runs))
			// The answer must remain correct, so the owner must not run a late copy of the order.
			owner.do(newOrder("order"), key)
			g.Expect(endpoint.total()-before).To(Equal(row.runs), "after a late copy")
		})
	}
	t.Run("unreachable", func(t *testing.T) {
		g := NewWithT(t)
		owner, other := newProxyFixture(t, "a", address), newProxyFixture(t, "b", address)
		owner.keys.owner.Link = "127.0.0.1:1"
		answer, _ := other.do(newOrder("order"), owner.fetchKey(t))
		g.Expect(ranOf(t, answer)).To(Equal(problem.RanUnknown))
	})
}

// restart resets the proxy to the state of a recently started process.
func (f *proxyFixture) restart(t *testing.T) {
	f.agent.instance.Incarnation++
	keys, err := newKeyIssuer(f.serving)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	f.keys = keys
}

// TestRefusedOrdersReportWhetherTheyRan sends an order and then a copy of it to
// endpoints that fail in different phases of the exchange.
func TestRefusedOrdersReportWhetherTheyRan(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	closed.Close()
	table := []struct {
		name    string
		address string
		want    problem.Ran
	}{
		{"connection refused", closed.Addr().String(), problem.RanNo},
		{"closed before the answer", rawAnswer(t, ""), problem.RanUnknown},
		{"truncated in the header", rawAnswer(t, "HTTP/1.1 200 OK\r\nContent-"), problem.RanUnknown},
		{"truncated in the body", rawAnswer(t, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort"), problem.RanUnknown},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			g := NewWithT(t)
			f := newProxyFixture(t, "a", row.address)
			key := f.fetchKey(t)
			for range 2 {
				answer, isReset := f.do(newOrder("order"), key)
				g.Expect(isReset).To(BeFalse())
				g.Expect(ranOf(t, answer)).To(Equal(row.want))
			}
		})
	}
}

// rawAnswer starts an endpoint that reads a request's header, sends text and
// closes the connection. It returns the endpoint's address.
func rawAnswer(t *testing.T, text string) string {
	address, _ := startRawEndpoint(t, func(conn net.Conn) {
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			io.WriteString(conn, text)
		}
	})
	return address
}

// TestRefusedOrderNeverRunsLater checks that an order refused while all slots
// were taken does not run when a late copy of it arrives.
func TestRefusedOrderNeverRunsLater(t *testing.T) {
	g := NewWithT(t)
	endpoint, address := startOrderEndpoint(t, nil)
	f := newProxyFixture(t, "a", address)
	var slots []*admit.Slot
	for range f.serving.doc.Load().Slots {
		slot, err := f.serving.limiter.Acquire(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		slots = append(slots, slot)
	}
	key := f.fetchKey(t)
	r := newOrder("order")
	ctx, cancel := context.WithCancel(r.Context())
	cancel()
	refused, _ := f.do(r.WithContext(ctx), key)
	g.Expect(ranOf(t, refused)).To(Equal(problem.RanNo))
	for _, slot := range slots {
		slot.Release(admit.OutcomeAnswered)
	}
	late, _ := f.do(newOrder("order"), key)
	g.Expect(late.Code).To(Equal(http.StatusPreconditionRequired))
	g.Expect(endpoint.total()).To(BeZero())
}

// TestOrderContinuesAfterCallerDisconnects checks that an order keeps running
// when its caller disconnects, and that a retry with the same key gets the answer.
func TestOrderContinuesAfterCallerDisconnects(t *testing.T) {
	g := NewWithT(t)
	arrived, release := make(chan struct{}), make(chan struct{})
	endpoint, address := startOrderEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		close(arrived)
		<-release
		io.WriteString(w, "done")
	})
	f := newProxyFixture(t, "a", address)
	key := f.fetchKey(t)
	ctx, cancel := context.WithCancel(t.Context())
	callerDone := make(chan struct{})
	go func() { f.do(newOrder("order").WithContext(ctx), key); close(callerDone) }()
	<-arrived
	cancel()
	close(release)
	answer, _ := f.do(newOrder("order"), key)
	g.Expect(answer.Body.String()).To(Equal("done"))
	<-callerDone
	g.Expect(endpoint.total()).To(Equal(1))
}

func TestOversizedAndTruncatedOrdersDoNotRun(t *testing.T) {
	g := NewWithT(t)
	endpoint, address := startOrderEndpoint(t, nil)
	f := newProxyFixture(t, "a", address)
	large, _ := f.do(newOrder(strings.Repeat("x", maxOnceBodyBytes+1)), f.fetchKey(t))
	g.Expect(large.Code).To(Equal(http.StatusRequestEntityTooLarge))
	g.Expect(ranOf(t, large)).To(Equal(problem.RanNo))
	// Neither an order with a truncated body nor a later copy may reach the endpoint.
	key := f.fetchKey(t)
	truncated := httptest.NewRequest(http.MethodPost, "/orders", io.MultiReader(strings.NewReader("ord"), failingReader{}))
	refused, _ := f.do(truncated, key)
	g.Expect(ranOf(t, refused)).To(Equal(problem.RanNo))
	f.do(newOrder("order"), key)
	g.Expect(endpoint.total()).To(BeZero())
	g.Expect(f.bodies.available).To(Equal(maxBufferedBytes))
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestKeyOfEarlierProcessDoesNotRun checks that a key of an earlier process
// starts no request, even if both processes have the same incarnation.
func TestKeyOfEarlierProcessDoesNotRun(t *testing.T) {
	g := NewWithT(t)
	endpoint, address := startOrderEndpoint(t, nil)
	f := newProxyFixture(t, "a", address)
	key := f.fetchKey(t)
	f.agent.instance.Incarnation--
	f.restart(t)
	answer, _ := f.do(newOrder("order"), key)
	g.Expect(ranOf(t, answer)).To(Equal(problem.RanUnknown))
	g.Expect(endpoint.total()).To(BeZero())
}

// TestNonIdempotentPatternsCannotBeBypassed checks that no spelling of a
// non-idempotent method and path reaches the endpoint without a key.
func TestNonIdempotentPatternsCannotBeBypassed(t *testing.T) {
	endpoint, address := startOrderEndpoint(t, nil)
	f := newProxyFixture(t, "a", address)
	doc := f.serving.doc.Load()
	unmatched := 0
	targets := []string{
		"POST /orders", "POST /orders/", "POST //orders", "POST /%2Forders", "POST /x/../orders", "POST /x/%2e%2e/orders",
		"POST /Orders", "POST /%6frders", "POST /%256frders", "POST /orders;a=1", "POST /orders%3Fa=1", "POST /.%2Forders",
		`POST /x%5C..%5Corders`, "post /orders", "POST /orders?id=1", "POST /quotes/7", "POST /quotes", "POST /x/../Quotes/7",
		"HEAD /checkout", "GET /checkout/",
	}
	for _, target := range targets {
		method, path, _ := strings.Cut(target, " ")
		r := httptest.NewRequest(method, path, nil)
		if !doc.IsNonIdempotent(r.Method, r.URL.Path) {
			unmatched++
		}
		answer, _ := f.do(r, "")
		NewWithT(t).Expect(answer.Code).To(Or(Equal(http.StatusPreconditionRequired), Equal(http.StatusBadRequest)), target)
	}
	override := httptest.NewRequest(http.MethodPut, "/orders", nil)
	override.Header.Set("X-HTTP-Method-Override", "post")
	answer, _ := f.do(override, "")
	g := NewWithT(t)
	g.Expect(answer.Code).To(Equal(http.StatusPreconditionRequired))
	g.Expect(endpoint.total()).To(BeZero())
	// Matching the path without normalization misses most of these targets.
	g.Expect(unmatched).To(BeNumerically(">=", 10))
	for _, target := range []string{"GET /orders", "POST /ordersx", "POST /order", "POST /", "PUT /quotes/1"} {
		method, path, _ := strings.Cut(target, " ")
		answer, _ := f.do(httptest.NewRequest(method, path, nil), "")
		g.Expect(answer.Code).To(Equal(http.StatusOK), target)
	}
}
