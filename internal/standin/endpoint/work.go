package endpoint

import (
	"fmt"
	"net/http"
	"time"
)

// slotCount is the number of requests that the stand-in works on concurrently, as
// in the users' deployments.
const slotCount = 5

// handleWork occupies one of the slots for the duration ?time=. Requests wait for a
// free slot.
func (e *Endpoint) handleWork(w http.ResponseWriter, r *http.Request) {
	work, err := time.ParseDuration(r.URL.Query().Get("time"))
	if err != nil || work < 0 {
		http.Error(w, "time: a duration of 0 or more is required", http.StatusBadRequest)
		return
	}
	select {
	case e.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-e.slots }()
	time.Sleep(work)
	fmt.Fprintln(w, e.name)
}
