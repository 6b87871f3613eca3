package endpoint

import (
	"fmt"
	"net/http"
	"time"
)

// slotCount is how many requests the stand-in works on at a time, as at the users.
const slotCount = 5

// handleWork holds one of the slots for ?time=; requests wait for a free slot.
func (e *Endpoint) handleWork(w http.ResponseWriter, r *http.Request) {
	work, err := time.ParseDuration(r.URL.Query().Get("time"))
	if err != nil || work < 0 {
		http.Error(w, "time: a duration is needed", http.StatusBadRequest)
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
