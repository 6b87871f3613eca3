// Package endpoint is a stand-in for an endpoint of an organisation: an HTTP server
// with long downloads, event streams, and orders whose runs it counts.
package endpoint

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// chunkBytes is the size of a single write of a download.
const chunkBytes = 16 << 10

// Endpoint is an http.Handler that serves the stand-in's requests. The zero value
// is not usable; call New.
type Endpoint struct {
	name  string
	mux   *http.ServeMux
	slots chan struct{}

	mu   sync.Mutex
	runs map[string]int
}

// New returns an endpoint with the given name.
func New(name string) *Endpoint {
	e := &Endpoint{name: name, mux: http.NewServeMux(), slots: make(chan struct{}, slotCount), runs: make(map[string]int)}
	e.mux.HandleFunc("GET /name", e.handleName)
	e.mux.HandleFunc("GET /work", e.handleWork)
	e.mux.HandleFunc("GET /drawings/{bytes}", e.handleDrawing)
	e.mux.HandleFunc("GET /board", e.handleBoard)
	e.mux.HandleFunc("POST /orders", e.handleOrder)
	e.mux.HandleFunc("GET /runs", e.handleRuns)
	return e
}

// ServeHTTP serves a request and adds the endpoint's name as the Endpoint header.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Endpoint", e.name)
	e.mux.ServeHTTP(w, r)
}

func (e *Endpoint) handleName(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprintln(w, e.name)
}

// handleDrawing sends the requested number of bytes; ?pace= is the pause between
// chunks.
func (e *Endpoint) handleDrawing(w http.ResponseWriter, r *http.Request) {
	total, err := strconv.Atoi(r.PathValue("bytes"))
	if err != nil || total < 0 {
		http.Error(w, "the path must end in a number of bytes, 0 or more", http.StatusBadRequest)
		return
	}
	pace, _ := time.ParseDuration(r.URL.Query().Get("pace"))
	w.Header().Set("Content-Length", strconv.Itoa(total))
	for sent := 0; sent < total; {
		n := min(chunkBytes, total-sent)
		if _, err := w.Write(Drawing(sent, n)); err != nil {
			return
		}
		sent += n
		if pace > 0 {
			w.(http.Flusher).Flush()
			time.Sleep(pace)
		}
	}
}

// Drawing returns length bytes of a drawing from an offset on. The content is the
// same for all drawings.
func Drawing(offset, length int) []byte {
	data := make([]byte, length)
	for i := range data {
		at := offset + i
		data[i] = byte(at*31 ^ at>>8*17 ^ at>>16)
	}
	return data
}

// handleBoard streams ?count= numbered events at intervals of ?every=; a count of 0
// means no end.
func (e *Endpoint) handleBoard(w http.ResponseWriter, r *http.Request) {
	every, err := time.ParseDuration(r.URL.Query().Get("every"))
	if err != nil || every <= 0 {
		http.Error(w, "every: a positive duration is required", http.StatusBadRequest)
		return
	}
	count, _ := strconv.Atoi(r.URL.Query().Get("count"))
	w.Header().Set("Content-Type", "text/event-stream")
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for i := 0; count == 0 || i < count; i++ {
		if _, err := fmt.Fprintf(w, "data: %d\n\n", i); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-ticker.C:
		}
	}
}

// handleOrder runs the order ?id=, which takes the duration ?work=.
func (e *Endpoint) handleOrder(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("id")
	e.mu.Lock()
	e.runs[id]++
	e.mu.Unlock()
	work, _ := time.ParseDuration(r.URL.Query().Get("work"))
	time.Sleep(work)
	fmt.Fprintf(w, "order %s by %s\n", id, e.name)
}

// handleRuns lists how often each order ran, one line of "id count" per order.
func (e *Endpoint) handleRuns(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, count := range e.runs {
		fmt.Fprintf(w, "%s %d\n", id, count)
	}
}
