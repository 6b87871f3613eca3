package agent

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"time"

	"sassafrasturn.example/internal/wire"
)

const (
	announceReadTimeout = 5 * time.Second
	maxAnnouncementSize = 4 << 10
)

// Announcement is what an endpoint says about itself: POST /v1/endpoint.
type Announcement struct {
	// Service is the name of the service that the endpoint serves.
	Service string `json:"service"`
	// Address is where the endpoint takes plain HTTP, on loopback.
	Address string `json:"address"`
	// Slots is how many requests the endpoint can work on at a time.
	Slots int `json:"slots"`
}

func (n *Announcement) check() error {
	address, err := netip.ParseAddrPort(n.Address)
	if err != nil || !address.Addr().IsLoopback() {
		return Error.New("address: found %q, allowed: a loopback IP address and a port", n.Address)
	}
	if n.Service == "" {
		return Error.New("service: found nothing, allowed: the name of a service")
	}
	if n.Slots < 0 {
		return Error.New("slots: found %d, allowed: a number from 0, 0 for the document's", n.Slots)
	}
	return nil
}

func (a *Agent) serveAnnouncements(ctx context.Context) error {
	listener, err := net.Listen("tcp", a.instance.Settings.Agent.Announce.String())
	if err != nil {
		return Error.Wrap(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/endpoint", a.takeAnnouncement)
	mux.HandleFunc("POST /v1/drain", a.takeDrain)
	server := &http.Server{Handler: mux, ReadTimeout: announceReadTimeout}
	context.AfterFunc(ctx, func() { server.Close() })
	go server.Serve(listener)
	return nil
}

func (a *Agent) takeAnnouncement(w http.ResponseWriter, r *http.Request) {
	announcement := new(Announcement)
	body := http.MaxBytesReader(w, r.Body, maxAnnouncementSize)
	if err := json.NewDecoder(body).Decode(announcement); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := announcement.check(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := a.announce(announcement); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (a *Agent) announce(announcement *Announcement) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isDraining {
		return Error.New("the agent is draining")
	}
	if a.announced != nil {
		if *a.announced == *announcement {
			return nil
		}
		return Error.New("endpoint %s of %s has announced itself here", a.announced.Address, a.announced.Service)
	}
	a.announced = announcement
	a.state = wire.Endpoint_STATE_COLD
	a.sequence++
	a.signalChange()
	return nil
}

// takeDrain answers once nothing is in flight any more.
func (a *Agent) takeDrain(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), a.instance.Settings.ShutdownTimeout)
	defer cancel()
	a.Drain(ctx)
	if ctx.Err() != nil {
		http.Error(w, "requests are still in flight", http.StatusGatewayTimeout)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
