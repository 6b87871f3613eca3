// Package sample provides the sample endpoint and service document of the role all, so
// that a first request is served without further setup.
package sample

import (
	"bytes"
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/zeebo/errs"
	"sassafrasturn.example/internal/machine"
	"sassafrasturn.example/internal/machine/agent"
	"sassafrasturn.example/internal/pause"
	"sassafrasturn.example/internal/wire"
)

// Error is the class of this package's errors.
var Error = errs.Class("sample")

// Service and Address are the name and the address of the service in the sample document.
const (
	Service = "sample"
	Address = "127.0.0.1:8443"

	slots            = 5
	announceInterval = 500 * time.Millisecond
)

//go:embed sample.ini
var document []byte

// Endpoint is the sample endpoint. It runs as a role of an instance.
type Endpoint struct {
	instance *machine.Instance
}

// New returns the sample endpoint of an instance.
func New(instance *machine.Instance) *Endpoint {
	return &Endpoint{instance: instance}
}

// Run serves the sample endpoint until ctx ends.
func (e *Endpoint) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Error.Wrap(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/hello", hello)
	mux.HandleFunc("/clock", clock)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	context.AfterFunc(ctx, func() { server.Close() })
	go e.register(ctx, listener.Addr().String())
	if err := server.Serve(listener); ctx.Err() == nil {
		return Error.Wrap(err)
	}
	return nil
}

func hello(w http.ResponseWriter, r *http.Request) {
	fmt.Fprintf(w, "hello from the sample endpoint, over %s\n", r.Proto)
}

const (
	clockTick  = 100 * time.Millisecond
	clockTicks = 30
)

// clock streams the time for three seconds. It demonstrates that a graceful stop waits
// for responses in progress.
func clock(w http.ResponseWriter, r *http.Request) {
	ticker := time.NewTicker(clockTick)
	defer ticker.Stop()
	for range clockTicks {
		fmt.Fprintln(w, time.Now().Format(time.RFC3339Nano))
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-ticker.C:
		}
	}
}

// register submits the sample document and announces the endpoint to the agent. It
// repeats the announcement as a heartbeat, so that the agent detects when the endpoint
// has stopped.
func (e *Endpoint) register(ctx context.Context, address string) {
	isRegistered := false
	for ctx.Err() == nil {
		err := e.submit(ctx)
		if err == nil {
			err = e.announce(ctx, address)
		}
		switch {
		case err != nil && !isRegistered:
			e.instance.Log.Info().Err(err).Msg("sample endpoint not announced yet")
		case !isRegistered:
			e.printUsage()
			isRegistered = true
		}
		pause.For(ctx, announceInterval)
	}
}

func (e *Endpoint) printUsage() {
	link := e.instance.Settings.Link.Listen
	fmt.Printf("sample service: https://%s/hello (HTTP/3)\n", Address)
	fmt.Printf("try: go run ./cmd/sassafrasturnctl -control %s fetch -insecure https://%s/hello\n", link, Address)
}

func (e *Endpoint) submit(ctx context.Context) error {
	if e.instance.Store.Get(wire.Record_KIND_SERVICE, Service) != nil {
		return nil
	}
	command := &wire.Command{
		SubmissionId: "sample-document",
		Body:         &wire.Command_Submit{Submit: &wire.SubmitDocument{Document: document}},
	}
	request := &wire.Request{Body: &wire.Request_Command{Command: command}}
	response, err := e.instance.Dialer.Call(ctx, e.instance.Settings.Link.Listen.String(), request)
	if err != nil {
		return err
	}
	if response.Error != "" {
		return Error.New("%s", response.Error)
	}
	if result := response.GetCommand(); result.Outcome == wire.CommandResult_OUTCOME_INVALID {
		return Error.New("%s", result.Findings)
	}
	return nil
}

func (e *Endpoint) announce(ctx context.Context, address string) error {
	announce := e.instance.Settings.Agent.Announce.String()
	return Announce(ctx, announce, &agent.Announcement{Service: Service, Address: address, Slots: slots, Process: ProcessIdentity()})
}

var startedAt = time.Now()

// ProcessIdentity returns a name that is unique among the processes that announce
// themselves to an agent.
func ProcessIdentity() string {
	return fmt.Sprintf("%d-%d", os.Getpid(), startedAt.UnixNano())
}

// Announce sends an announcement of an endpoint to the agent at the address announce.
func Announce(ctx context.Context, announce string, announcement *agent.Announcement) error {
	body, err := json.Marshal(announcement)
	if err != nil {
		return Error.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+announce+"/v1/endpoint", bytes.NewReader(body))
	if err != nil {
		return Error.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Error.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return Error.New("announcement failed: the agent responded %s", response.Status)
	}
	return nil
}

// Drain returns at once, because the agent drains the endpoint.
func (e *Endpoint) Drain(context.Context) {}

// ServeStream returns false, because the endpoint serves no requests on links.
func (e *Endpoint) ServeStream(context.Context, *wire.Request, net.Conn) bool {
	return false
}

// Health returns nil: the sample endpoint reports no health.
func (e *Endpoint) Health() error {
	return nil
}

// Details returns nil: the sample endpoint has no details.
func (e *Endpoint) Details() []string {
	return nil
}
