package main

import (
	"fmt"
	"time"
)

// runPartial sends a desired state of which only the version and the limits are left. It is not
// complete, so it must be refused, and the routes of the one before must go on being served.
func runPartial(o *options, w *world) error {
	alpha, beta, _, _, err := setUp(w)
	if err != nil {
		return err
	}
	body := []byte(`{"version":2,"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`)
	if o.hasTrouble() {
		status, answer := w.call("POST", "/Config.Replace", body, 5*time.Second)
		w.record.line("operator: %s answered %d %q", body, status, answer)
		if status/100 == 2 {
			w.record.violate("CONFIG", "a desired state without routes and services was acknowledged with %d", status)
		}
	}
	time.Sleep(4 * time.Second)
	servedBefore, sentBefore := alpha.served.Load(), alpha.sent.Load()
	time.Sleep(4 * time.Second)
	served, sent := alpha.served.Load()-servedBefore, alpha.sent.Load()-sentBefore
	w.record.line("%d of %d requests to alpha were served afterwards", served, sent)
	if 2*served < sent {
		w.record.violate("CONFIG", "what is invalid is in force: %d of %d requests to alpha were served afterwards", served, sent)
	}
	if status, data := w.call("GET", "/Config.Get", nil, 5*time.Second); status != 200 {
		return fmt.Errorf("the desired state was not read back: %d %s", status, data)
	} else {
		w.record.line("operator: read back %s", data)
	}
	alpha.end()
	beta.end()
	return nil
}
