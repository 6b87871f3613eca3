package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"
)

// postOther posts heartbeats of a service that is not named, from the machine of the server. It tries
// again soon where nobody answers.
func postOther(w *world, s *side, number int, stop chan struct{}) {
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(s.host)}}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DialContext: dialer.DialContext}}
	born := time.Now().UnixMilli()
	for seq := 1; ; seq++ {
		body, _ := json.Marshal(map[string]any{
			"service": "ledger-export", "addr": address(s.host, portServer), "zone": s.zone, "version": "v1", "slots": 5,
			"state": "ready", "cold-left-ms": 0, "seq": seq, "born": born,
		})
		pause := 770 * time.Millisecond
		answer, err := client.Post("http://"+address(s.host, portControl)+fmt.Sprintf("/Instances.Heartbeat/other-%d", number), "application/json", bytes.NewReader(body))
		if err != nil {
			pause = 20 * time.Millisecond
		} else {
			answer.Body.Close()
			w.record.line("other writer: heartbeat %d to side-%d answered %d", seq, number, answer.StatusCode)
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
	}
}

// runOther kills all processes of the system while another program posts heartbeats of a service
// that no desired state names to the agents. Requests must be served again afterwards.
func runOther(o *options, w *world) error {
	alpha, beta, _, _, err := setUp(w)
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	defer close(stop)
	for i, s := range w.sides {
		if o.hasTrouble() {
			go postOther(w, s, i, stop)
		}
	}
	time.Sleep(3 * time.Second)
	before := alpha.served.Load()
	time.Sleep(2 * time.Second)
	w.record.line("%d requests to alpha were served in 2 s before", alpha.served.Load()-before)
	for _, p := range w.processes {
		if p.args[0] == w.daemon {
			p.kill()
		}
	}
	w.record.line("all processes of the system were killed")
	time.Sleep(time.Second)
	for _, p := range w.processes {
		if p.args[0] == w.daemon {
			if err := p.start(); err != nil {
				return err
			}
		}
	}
	time.Sleep(12 * time.Second)
	served, sent := alpha.served.Load()+beta.served.Load(), alpha.sent.Load()+beta.sent.Load()
	time.Sleep(8 * time.Second)
	served, sent = alpha.served.Load()+beta.served.Load()-served, alpha.sent.Load()+beta.sent.Load()-sent
	w.record.line("%d of %d requests were served later than recovery-s after the start", served, sent)
	if 4*served < sent {
		w.record.violate("RECOVER", "%d of %d requests were served later than recovery-s after the start", served, sent)
	}
	alpha.end()
	beta.end()
	return nil
}
