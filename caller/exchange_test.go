package caller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/once"
	"sassafrasturn.example/internal/problem"
	"sassafrasturn.example/internal/retry"
)

var errLost = errors.New("connection lost")

// fakeService is a service whose agents restart, refuse requests, and lose
// requests and responses at random.
type fakeService struct {
	random *rand.Rand
	ledger *once.Ledger
	// restarts is part of every key, like the incarnation of a real agent.
	restarts int
	issued   int
	// isKeyless makes the service run orders without a key, for the naive caller.
	isKeyless bool
	runs      map[string]int
}

func (s *fakeService) chance(oneIn int) bool { return s.random.IntN(oneIn) == 0 }

func (s *fakeService) send(r *http.Request) (*http.Response, error) {
	if s.chance(15) {
		return nil, errLost
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	if s.chance(15) {
		return nil, errLost
	}
	if s.chance(25) {
		s.restarts++
		s.ledger = once.NewLedger(once.DefaultLimits)
	}
	w := httptest.NewRecorder()
	s.serve(w, r)
	response := w.Result()
	if s.chance(8) {
		return nil, errLost
	}
	if s.chance(15) {
		response.Body = io.NopCloser(io.MultiReader(strings.NewReader("cu"), brokenReader{}))
	}
	return response, nil
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, errLost }

func (s *fakeService) serve(w http.ResponseWriter, r *http.Request) {
	key := strings.Trim(r.Header.Get(KeyHeader), `"`)
	if s.isKeyless {
		s.run(w, r)
		return
	}
	if key == "" {
		s.refuse(w, problem.TypeKeyRequired, problem.RanNo)
		return
	}
	var restarts, number int
	fmt.Sscanf(key, "%d-%d", &restarts, &number)
	if restarts != s.restarts {
		s.refuse(w, problem.TypeOutcomeUnknown, problem.RanUnknown)
		return
	}
	id := once.ID{byte(number), byte(number >> 8)}
	result, hasStarted := s.ledger.Begin(0, id, time.Second, once.ContentDigest{})
	switch {
	case hasStarted && s.chance(10):
		s.ledger.Void(0, id)
		s.refuse(w, problem.TypeOverloaded, problem.RanNo)
	case hasStarted:
		recorder := httptest.NewRecorder()
		s.run(recorder, r)
		s.ledger.Finish(0, id, &once.Answer{Body: recorder.Body.Bytes()})
		w.Write(recorder.Body.Bytes())
	case result.State == once.StateFinished:
		w.Write(result.Answer.Body)
	default:
		s.refuse(w, problem.TypeKeyVoid, problem.RanNo)
	}
}

func (s *fakeService) run(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.runs[string(body)]++
	w.Write(append([]byte("done "), body...))
}

func (s *fakeService) refuse(w http.ResponseWriter, kind problem.Type, ran problem.Ran) {
	s.issued++
	w.Header().Set(KeyHeader, fmt.Sprintf(`"%d-%d"`, s.restarts, s.issued))
	problem.Refusal{Status: http.StatusServiceUnavailable, Type: kind, Ran: ran}.Write(w)
}

// blindRetry is the naive caller. It sends a request again until it gets a
// response.
func blindRetry(send func(*http.Request) (*http.Response, error)) func(*http.Request) (*http.Response, error) {
	return func(r *http.Request) (response *http.Response, err error) {
		for range maxAttempts {
			r.Body, _ = r.GetBody()
			response, err = send(r)
			if err == nil && bufferResponse(response) == nil {
				return response, nil
			}
		}
		return nil, errLost
	}
}

type tally struct{ answered, unknown, notRun, duplicates, falseNotRun, wrongResponses int }

// placeOrders sends orders and compares the outcome that the caller reports with
// the number of times that each order ran.
func placeOrders(s *fakeService, orders int, roundTrip func(*http.Request) (*http.Response, error)) tally {
	var sum tally
	for i := range orders {
		order := fmt.Sprint("order ", i)
		r, _ := http.NewRequest(http.MethodPost, "https://order-desk/orders", bytes.NewBufferString(order))
		response, err := roundTrip(r)
		ran, text := RanYes, ""
		var failed *Error
		if errors.As(err, &failed) {
			ran = failed.Ran
		} else if refusal, ok := RefusalOf(response); ok {
			ran = refusal.Ran
		} else {
			data, _ := io.ReadAll(response.Body)
			text = string(data)
		}
		runs := s.runs[order]
		switch ran {
		case RanYes:
			sum.answered++
			if text != "done "+order {
				sum.wrongResponses++
			}
		case RanNo:
			sum.notRun++
			if runs != 0 {
				sum.falseNotRun++
			}
		default:
			sum.unknown++
		}
		if runs > 1 {
			sum.duplicates++
		}
	}
	return sum
}

func TestOrdersRunAtMostOnce(t *testing.T) {
	const seeds, orders = 100, 40
	var product, naive tally
	add := func(sum *tally, one tally) {
		sum.answered += one.answered
		sum.unknown += one.unknown
		sum.notRun += one.notRun
		sum.duplicates += one.duplicates
		sum.falseNotRun += one.falseNotRun
		sum.wrongResponses += one.wrongResponses
	}
	newService := func(seed uint64, isKeyless bool) *fakeService {
		return &fakeService{random: rand.New(rand.NewPCG(seed, 0)), ledger: once.NewLedger(once.DefaultLimits), isKeyless: isKeyless, runs: make(map[string]int)}
	}
	for seed := range uint64(seeds) {
		s := newService(seed, false)
		transport := newTransport(s.send)
		transport.sleep = func(context.Context, time.Duration) {}
		// TestRetryStorm covers the budget. Here it must not prevent any retry.
		transport.budget = retry.NewBudget(1, 1000)
		add(&product, placeOrders(s, orders, transport.RoundTrip))
		s = newService(seed, true)
		add(&naive, placeOrders(s, orders, func(r *http.Request) (*http.Response, error) {
			response, err := blindRetry(s.send)(r)
			if err != nil {
				return nil, &Error{Ran: RanUnknown, Err: err}
			}
			return response, nil
		}))
	}
	t.Logf("%d orders: product %+v, blind retry %+v", seeds*orders, product, naive)
	g := NewWithT(t)
	g.Expect(naive.duplicates).To(BeNumerically(">", 0))
	g.Expect(product.answered).To(BeNumerically(">", seeds*orders*3/4))
	g.Expect(product.notRun).To(BeNumerically(">", 0))
	g.Expect([]int{product.duplicates, product.falseNotRun, product.wrongResponses}).To(Equal([]int{0, 0, 0}))
}

// TestApplicationKeyIsNeverReplaced guards against a new key in place of the
// application's own: the order could then run again after a restart of the
// application.
func TestApplicationKeyIsNeverReplaced(t *testing.T) {
	g := NewWithT(t)
	var keys []string
	transport := newTransport(func(r *http.Request) (*http.Response, error) {
		keys = append(keys, r.Header.Get(KeyHeader))
		if len(keys) < 3 {
			return nil, errLost
		}
		w := httptest.NewRecorder()
		w.Header().Set(KeyHeader, `"fresh"`)
		problem.Refusal{Status: http.StatusPreconditionRequired, Type: problem.TypeKeyVoid, Ran: problem.RanNo}.Write(w)
		return w.Result(), nil
	})
	transport.sleep = func(context.Context, time.Duration) {}
	r, _ := http.NewRequest(http.MethodPost, "https://order-desk/orders", strings.NewReader("order"))
	r.Header.Set(KeyHeader, `"mine"`)
	response, err := transport.RoundTrip(r)
	g.Expect(err).NotTo(HaveOccurred())
	refusal, ok := RefusalOf(response)
	g.Expect(ok).To(BeTrue())
	g.Expect(refusal.Ran).To(Equal(RanNo))
	g.Expect(keys).To(Equal([]string{`"mine"`, `"mine"`, `"mine"`}))
}

// TestRetryStorm sends requests to endpoints that all fail. The retry budget
// must limit the additional load to a fifth of the offered load.
func TestRetryStorm(t *testing.T) {
	const offered = 500
	g := NewWithT(t)
	sent := 0
	transport := newTransport(func(*http.Request) (*http.Response, error) { sent++; return nil, errLost })
	transport.sleep = func(context.Context, time.Duration) {}
	for range offered {
		r, _ := http.NewRequest(http.MethodGet, "https://drawings/drawings/1", nil)
		_, err := transport.RoundTrip(r)
		g.Expect(err).To(MatchError(errLost))
	}
	g.Expect(sent).To(BeNumerically(">", offered))
	g.Expect(sent).To(BeNumerically("<=", offered*6/5))
}

func TestRequestsThatAreNotRetried(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	unknown := func(r *http.Request) (*http.Response, error) {
		if r.Method == http.MethodOptions {
			return httptest.NewRecorder().Result(), nil
		}
		httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
		return nil, errLost
	}
	table := []struct {
		name   string
		method string
		ctx    context.Context
		body   io.Reader
		want   Ran
	}{
		{"POST to a server without keys", http.MethodPost, t.Context(), strings.NewReader("x"), RanUnknown},
		{"a request whose context has ended", http.MethodGet, ctx, nil, RanUnknown},
		{"a body too large to buffer", http.MethodPut, t.Context(), io.LimitReader(zeroReader{}, maxBufferedBodyBytes+1), RanUnknown},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			g := NewWithT(t)
			sent := 0
			transport := newTransport(func(r *http.Request) (*http.Response, error) {
				if r.Method != http.MethodOptions {
					sent++
				}
				return unknown(r)
			})
			r, _ := http.NewRequestWithContext(row.ctx, row.method, "https://other/", row.body)
			_, err := transport.RoundTrip(r)
			var failed *Error
			g.Expect(errors.As(err, &failed)).To(BeTrue())
			g.Expect(failed.Ran).To(Equal(row.want))
			g.Expect(sent).To(Equal(1))
		})
	}
}

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// TestTruncatedRefusalIsRetried covers a GET that the service document lists as
// non-idempotent. It receives its key with a refusal, which may be truncated like
// any response.
func TestTruncatedRefusalIsRetried(t *testing.T) {
	g := NewWithT(t)
	sent := 0
	transport := newTransport(func(r *http.Request) (*http.Response, error) {
		sent++
		w := httptest.NewRecorder()
		if r.Header.Get(KeyHeader) != "" {
			io.WriteString(w, "done")
			return w.Result(), nil
		}
		w.Header().Set(KeyHeader, `"fresh"`)
		problem.Refusal{Status: http.StatusPreconditionRequired, Type: problem.TypeKeyRequired, Ran: problem.RanNo}.Write(w)
		response := w.Result()
		if sent == 1 {
			response.Body = io.NopCloser(io.MultiReader(strings.NewReader("{"), brokenReader{}))
		}
		return response, nil
	})
	transport.sleep = func(context.Context, time.Duration) {}
	r, _ := http.NewRequest(http.MethodGet, "https://order-desk/checkout", nil)
	response, err := transport.RoundTrip(r)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.StatusCode).To(Equal(http.StatusOK))
	g.Expect(sent).To(Equal(3))
}
