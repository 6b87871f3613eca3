package agent

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"sassafrasturn.example/internal/contract"
	"sassafrasturn.example/internal/finding"
)

const (
	announceReadTimeout = 5 * time.Second
	maxAnnouncementSize = 4 << 10
)

// Announcement is the body of POST /v1/endpoint, by which an endpoint registers
// with the agent and keeps its registration alive.
type Announcement struct {
	// Service is the name of the service that the endpoint serves.
	Service string `json:"service"`
	// Address is the loopback address and port of the endpoint's plain HTTP server.
	Address string `json:"address"`
	// Slots is how many requests the endpoint can process concurrently; 0
	// means the number in the service document.
	Slots int `json:"slots"`
	// Process differs for each process of the endpoint, so that the agent can
	// detect a restart. It is optional.
	Process string `json:"process,omitempty"`
}

// loadReport is the body of POST /v1/load.
type loadReport struct {
	// Load ranges from 0 for an idle endpoint to 1 for a fully loaded one.
	Load float64 `json:"load"`
}

// validate returns an error that lists all findings.
func (a *Announcement) validate() error {
	var findings finding.List
	reject := func(key, found, allowed string) {
		findings.Add(finding.Finding{File: "announcement", Key: key, Found: found, Allowed: allowed})
	}
	address, err := netip.ParseAddrPort(a.Address)
	if err != nil || !address.Addr().IsLoopback() {
		reject("address", a.Address, "a loopback IP address and a port")
	}
	if !contract.IsServiceName(a.Service) {
		reject("service", a.Service, contract.ServiceNameFormat)
	}
	if a.Slots < 0 {
		reject("slots", strconv.Itoa(a.Slots), "a number from 0; 0 means the number in the service document")
	}
	return findings.Err()
}

// decode reads a JSON object and rejects unknown fields.
func decode(w http.ResponseWriter, r *http.Request, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementSize))
	decoder.DisallowUnknownFields()
	return Error.Wrap(decoder.Decode(into))
}

func (a *Agent) serveAnnouncements(ctx context.Context) error {
	listener, err := net.Listen("tcp", a.instance.Settings.Agent.Announce.String())
	if err != nil {
		return Error.Wrap(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/endpoint", a.handleAnnouncement)
	mux.HandleFunc("POST /v1/drain", a.handleDrain)
	mux.HandleFunc("POST /v1/load", a.handleLoad)
	server := &http.Server{Handler: mux, ReadTimeout: announceReadTimeout}
	context.AfterFunc(ctx, func() { server.Close() })
	go server.Serve(listener)
	return nil
}

func (a *Agent) handleAnnouncement(w http.ResponseWriter, r *http.Request) {
	announcement := new(Announcement)
	if err := decode(w, r, announcement); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := announcement.validate(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := a.announce(announcement); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// announce applies an announcement. An endpoint of another service or at
// another address replaces the current one, whose flows are closed.
func (a *Agent) announce(announcement *Announcement) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	change, err := a.lifecycle.announce(time.Now(), announcement)
	if err != nil {
		return err
	}
	switch change {
	case changeNone:
		return nil
	case changeMoved:
		a.stopServingLocked()
		a.startWatchLocked(announcement.Address)
	case changeRestarted:
		if a.serving != nil {
			a.serving.resume(announcement.Slots)
		}
	}
	a.signalChange()
	return nil
}

// stopServingLocked stops serving the current endpoint and closes its flows.
func (a *Agent) stopServingLocked() {
	s := a.serving
	if s == nil {
		return
	}
	a.serving = nil
	s.suspend()
	go s.close()
}

// handleDrain drains the endpoint and responds when no request is in flight.
func (a *Agent) handleDrain(w http.ResponseWriter, _ *http.Request) {
	// The drain continues if the endpoint closes the connection before the response.
	ctx, cancel := context.WithTimeout(context.Background(), a.instance.Settings.ShutdownTimeout)
	defer cancel()
	if !a.drainEndpoint(ctx, "the endpoint asked to be drained") {
		http.Error(w, "requests were in flight at the end of shutdown_timeout", http.StatusGatewayTimeout)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// handleLoad stores a load report for status and metrics. Load reports are
// delayed and can be misleading, so no limit is derived from them.
func (a *Agent) handleLoad(w http.ResponseWriter, r *http.Request) {
	report := new(loadReport)
	if err := decode(w, r, report); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	a.reportedLoad = report.Load
	a.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
