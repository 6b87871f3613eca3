package agent

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"sassafrasturn.example/internal/once"
)

// BenchmarkProxy compares requests through the proxy, with and without a key,
// with direct requests by a client that reuses its connections to the endpoint.
func BenchmarkProxy(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		io.WriteString(w, "done")
	}))
	defer server.Close()
	address := server.Listener.Addr().String()
	b.Run("kept-connection", func(b *testing.B) {
		client := &http.Client{Transport: &http.Transport{}}
		for b.Loop() {
			answer, err := client.Get("http://" + address + "/item")
			if err != nil {
				b.Fatal(err)
			}
			io.Copy(io.Discard, answer.Body)
			answer.Body.Close()
		}
	})
	b.Run("without-key", func(b *testing.B) {
		f := newProxyFixture(b, "a", address)
		for b.Loop() {
			f.do(httptest.NewRequest(http.MethodGet, "/item", nil), "")
		}
	})
	b.Run("with-key", func(b *testing.B) {
		f := newProxyFixture(b, "a", address)
		for b.Loop() {
			answer, _ := f.do(newOrder("order"), "")
			f.do(newOrder("order"), answer.Header().Get(keyHeader))
		}
	})
	b.Run("replay", func(b *testing.B) {
		f := newProxyFixture(b, "a", address)
		answer, _ := f.do(newOrder("order"), "")
		key := answer.Header().Get(keyHeader)
		for b.Loop() {
			f.do(newOrder("order"), key)
		}
	})
}

// BenchmarkKeptAnswer reports the memory used per finished request for kept
// answers of several sizes, and for an answer that is not kept (size -1).
func BenchmarkKeptAnswer(b *testing.B) {
	const answers = 1000
	for _, size := range []int{-1, 0, 100, 1000, 10_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				ledger := once.NewLedger(once.DefaultLimits)
				before := heapBytes()
				for i := range answers {
					id := once.ID{byte(i), byte(i >> 8)}
					ledger.Begin(0, id, time.Minute, once.ContentDigest{})
					if size < 0 {
						ledger.FinishNotKept(0, id)
						continue
					}
					ledger.Finish(0, id, &once.Answer{Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/plain"}}, Body: make([]byte, size)})
				}
				b.ReportMetric(float64(heapBytes()-before)/answers, "B/answer")
				runtime.KeepAlive(ledger)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
