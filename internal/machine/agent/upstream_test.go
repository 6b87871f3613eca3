package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/admit"
	"sassafrasturn.example/internal/problem"
)

// naiveGet sends a request as a typical proxy would, with a client that reuses
// connections. ok reports a complete answer with status 200.
func naiveGet(client *http.Client, address, id string) (body string, ok bool) {
	answer, err := client.Get("http://" + address + "/item?id=" + id)
	if err != nil {
		return "", false
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	return string(data), err == nil && answer.StatusCode == http.StatusOK
}

func proxyGet(f *proxyFixture, id string) (body string, ok bool) {
	answer, isReset := f.do(httptest.NewRequest(http.MethodGet, "/item?id="+id, nil), "")
	return answer.Body.String(), !isReset && answer.Code == http.StatusOK
}

func item(id string) string { return "the item with the number " + id }

func completeAnswer(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(item(id)), item(id))
}

// serveFaulty calls answer for each request of a connection, with the id of the
// request and of the previous one. answer returns whether to keep the connection open.
func serveFaulty(answer func(conn net.Conn, id, before string) bool) func(conn net.Conn) {
	return func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		before := ""
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			id := r.URL.Query().Get("id")
			if !answer(conn, id, before) {
				return
			}
			before = id
		}
	}
}

func TestAnswersAreCompleteAndMatchTheirRequests(t *testing.T) {
	const requests = 6
	send := func(conn net.Conn, text string) { io.WriteString(conn, text) }
	table := []struct {
		name       string
		answer     func(conn net.Conn, id, before string) bool
		failsNaive bool // whether the naive version returns a wrong answer
		isComplete bool // whether the answer is complete, so that the caller must receive it
	}{
		{"correct answer", func(conn net.Conn, id, _ string) bool { send(conn, completeAnswer(id)); return true }, false, true},
		{"previous answer repeated late", func(conn net.Conn, id, before string) bool {
			if before != "" {
				send(conn, completeAnswer(before))
			}
			send(conn, completeAnswer(id))
			return true
		}, true, true},
		{"every answer sent twice", func(conn net.Conn, id, _ string) bool { send(conn, completeAnswer(id)+completeAnswer(id)); return true }, false, true},
		{"bytes after the answer", func(conn net.Conn, id, _ string) bool { send(conn, completeAnswer(id)+"surplus"); return true }, false, true},
		{"length greater than the body", func(conn net.Conn, id, _ string) bool {
			send(conn, strings.Replace(completeAnswer(id), "Content-Length: ", "Content-Length: 1", 1))
			return false
		}, false, false},
		{"chunked body truncated", func(conn net.Conn, id, _ string) bool {
			send(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(item(id)), item(id)))
			return false
		}, false, false},
		{"truncated body without a length", func(conn net.Conn, id, _ string) bool {
			send(conn, "HTTP/1.1 200 OK\r\n\r\n"+item(id)[:7])
			return false
		}, true, false},
		{"two lengths", func(conn net.Conn, id, _ string) bool {
			send(conn, strings.Replace(completeAnswer(id), "\r\n\r\n", "\r\nContent-Length: 3\r\n\r\n", 1))
			return false
		}, false, false},
		{"flood of 1xx responses", func(conn net.Conn, id, _ string) bool {
			for range 2 * maxAnswerHeaderBytes / 20 {
				send(conn, "HTTP/1.1 103 Early\r\n\r\n")
			}
			send(conn, completeAnswer(id))
			return false
		}, false, false},
		{"header without end", func(conn net.Conn, _, _ string) bool {
			send(conn, "HTTP/1.1 200 OK\r\nA: "+strings.Repeat("a", 2*maxAnswerHeaderBytes))
			return false
		}, false, false},
		{"other protocol", func(conn net.Conn, _, _ string) bool {
			send(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n")
			return false
		}, false, false},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			g := NewWithT(t)
			address, _ := startRawEndpoint(t, serveFaulty(row.answer))
			f := newProxyFixture(t, "a", address)
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			wrong := 0
			for i := range requests {
				id := fmt.Sprint(i)
				if body, ok := naiveGet(client, address, id); ok && body != item(id) {
					wrong++
				}
				body, ok := proxyGet(f, id)
				g.Expect(ok).To(Equal(row.isComplete))
				if ok {
					g.Expect(body).To(Equal(item(id)))
				}
			}
			if row.failsNaive {
				g.Expect(wrong).To(BeNumerically(">", 0), "wrong answers returned by a client that reuses connections")
			}
		})
	}
}

// TestOrderIsNotResentAfterLostAnswer guards against the behaviour of
// net/http, which resends a request with an Idempotency-Key when a reused
// connection fails.
func TestOrderIsNotResentAfterLostAnswer(t *testing.T) {
	g := NewWithT(t)
	start := func() (address string, runs map[string]int) {
		runs = make(map[string]int)
		var mu sync.Mutex
		address, _ = startRawEndpoint(t, serveFaulty(func(conn net.Conn, id, before string) bool {
			mu.Lock()
			runs[id]++
			mu.Unlock()
			if before != "" {
				return false
			}
			io.WriteString(conn, completeAnswer(id))
			return true
		}))
		return address, runs
	}
	address, naiveRuns := start()
	client := &http.Client{Transport: &http.Transport{}}
	for _, id := range []string{"1", "2"} {
		r, err := http.NewRequest(http.MethodPost, "http://"+address+"/orders?id="+id, nil)
		g.Expect(err).NotTo(HaveOccurred())
		r.Header.Set(keyHeader, `"key"`)
		if answer, err := client.Do(r); err == nil {
			io.Copy(io.Discard, answer.Body)
			answer.Body.Close()
		}
	}
	client.CloseIdleConnections()
	g.Expect(naiveRuns["2"]).To(Equal(2), "a client that reuses connections runs the order twice")

	address, runs := start()
	f := newProxyFixture(t, "a", address)
	for _, id := range []string{"1", "2"} {
		f.do(httptest.NewRequest(http.MethodPost, "/orders?id="+id, nil), f.fetchKey(t))
	}
	g.Expect(runs).To(Equal(map[string]int{"1": 1, "2": 1}))
}

func TestDeadlineAndCancellationReachTheEndpoint(t *testing.T) {
	const timeout = "50"
	for _, isCancelled := range []bool{false, true} {
		t.Run(fmt.Sprintf("cancelled %t", isCancelled), func(t *testing.T) {
			g := NewWithT(t)
			received, ended := make(chan string, 2), make(chan struct{}, 2)
			address, accepted := startRawEndpoint(t, func(conn net.Conn) {
				defer conn.Close()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				received <- r.Header.Get(timeoutHeader)
				io.Copy(io.Discard, conn)
				ended <- struct{}{}
			})
			f := newProxyFixture(t, "a", address)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			r := httptest.NewRequest(http.MethodGet, "/item", nil).WithContext(ctx)
			if isCancelled {
				go func() { <-received; cancel() }()
			} else {
				r.Header.Set(timeoutHeader, timeout)
			}
			answer, _ := f.do(r, "")
			g.Expect(ranOf(t, answer)).To(Equal(problem.RanUnknown))
			<-ended
			g.Expect(accepted()).To(Equal(1), "no retry after the deadline")
			if !isCancelled {
				g.Expect(answer.Code).To(Equal(http.StatusGatewayTimeout))
				g.Expect(<-received).To(MatchRegexp(`^([1-4]?[0-9]|50)$`))
			}
		})
	}
	for _, bad := range []string{"soon", "-1", "0", "1.5"} {
		f := newProxyFixture(t, "a", "127.0.0.1:1")
		r := httptest.NewRequest(http.MethodGet, "/item", nil)
		r.Header.Set(timeoutHeader, bad)
		answer, _ := f.do(r, "")
		NewWithT(t).Expect(answer.Code).To(Equal(http.StatusBadRequest), bad)
	}
}

// TestStalledAnswerIsResetAndStreamIsNot checks that the idle timeout
// does not apply to event streams, which may send nothing for a long time.
func TestStalledAnswerIsResetAndStreamIsNot(t *testing.T) {
	g := NewWithT(t)
	const limit = 30 * time.Millisecond
	address, _ := startRawEndpoint(t, func(conn net.Conn) {
		defer conn.Close()
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf")
		if r.URL.Path == "/board" {
			time.Sleep(4 * limit)
			io.WriteString(conn, "half")
			return
		}
		io.Copy(io.Discard, conn)
	})
	f := newProxyFixture(t, "a", address)
	doc := *f.serving.doc.Load()
	doc.RequestTimeout = limit
	f.serving.doc.Store(&doc)
	_, isReset := f.do(httptest.NewRequest(http.MethodGet, "/item", nil), "")
	g.Expect(isReset).To(BeTrue())
	board, isReset := f.do(httptest.NewRequest(http.MethodGet, "/board", nil), "")
	g.Expect(isReset).To(BeFalse())
	g.Expect(board.Body.String()).To(Equal("halfhalf"))
}

// TestAgentRetriesWithinItsBudget counts connections to an endpoint that always fails.
func TestAgentRetriesWithinItsBudget(t *testing.T) {
	const offered = 200
	g := NewWithT(t)
	address, accepted := startRawEndpoint(t, func(conn net.Conn) {
		defer conn.Close()
		// The error does not matter: the connection fails either way.
		_, _ = http.ReadRequest(bufio.NewReader(conn))
	})
	f := newProxyFixture(t, "a", address)
	// The limiter would stop sending to a failing endpoint; this test covers only the retry budget.
	for range offered {
		f.serving.limiter.Reset()
		f.do(httptest.NewRequest(http.MethodGet, "/item", nil), "")
	}
	g.Expect(accepted()).To(BeNumerically(">", offered), "some are retried")
	g.Expect(accepted()).To(BeNumerically("<=", offered*6/5))
	before := accepted()
	for range offered {
		f.serving.limiter.Reset()
		f.do(httptest.NewRequest(http.MethodPost, "/search", nil), "")
	}
	g.Expect(accepted()-before).To(Equal(offered), "POST is not retried")
}

// TestStalledCallerBodyIsNotAnEndpointFailure checks that a slow or truncated
// upload is not counted against the endpoint: the limiter must not mistake it
// for a cold endpoint.
func TestStalledCallerBodyIsNotAnEndpointFailure(t *testing.T) {
	_, address := startOrderEndpoint(t, nil)
	const rounds = 20
	for i := range 2 * rounds {
		name := []string{"truncated", "stalled"}[i%2]
		t.Run(fmt.Sprintf("%s %d", name, i/2), func(t *testing.T) {
			g := NewWithT(t)
			stalled, stop := io.Pipe()
			defer stop.Close()
			var rest io.Reader = stalled
			if name == "truncated" {
				rest = failingReader{}
			}
			f := newProxyFixture(t, "a", address)
			r := httptest.NewRequest(http.MethodPut, "/item", io.MultiReader(strings.NewReader("begin"), rest))
			r.Body = struct {
				io.Reader
				io.Closer
			}{r.Body, stalled}
			r.Header.Set(timeoutHeader, "50")
			call, err := newCall(httptest.NewRecorder(), r, f.serving.doc.Load())
			g.Expect(err).NotTo(HaveOccurred())
			_, failed := f.sendWithRetry(call)
			g.Expect(failed.outcome(t.Context())).To(Equal(admit.OutcomeCancelled))
			g.Expect(failed.refusal().Ran).To(Equal(problem.RanUnknown))
		})
	}
}

// countingListener counts the bytes read from its connections.
type countingListener struct {
	net.Listener
	read *atomic.Int64
}

type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.read}, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// TestEndpointReadsBodiesThatItsHandlerIgnores checks that the endpoint's server
// reads request bodies to the end. Closing the connection with unread bytes
// would reset it and truncate an answer in progress.
func TestEndpointReadsBodiesThatItsHandlerIgnores(t *testing.T) {
	const (
		requests  = 20
		bodyBytes = 120_000
	)
	g := NewWithT(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	var read atomic.Int64
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "done") })}
	go server.Serve(countingListener{inner, &read})
	defer server.Close()
	f := newProxyFixture(t, "a", inner.Addr().String())
	for range requests {
		request := httptest.NewRequest(http.MethodPost, "/search", strings.NewReader(strings.Repeat("x", bodyBytes)))
		answer, isReset := f.do(request, "")
		g.Expect(isReset).To(BeFalse())
		g.Expect(answer.Body.String()).To(Equal("done"))
	}
	g.Eventually(read.Load).Should(BeNumerically(">=", requests*bodyBytes))
}
