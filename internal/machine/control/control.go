// Package control runs the control role: it keeps the replicated log of
// service documents and zone states and publishes what has been applied.
package control

import (
	"context"
	"net"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/link"
	"sassafrasturn.example/internal/machine"
	"sassafrasturn.example/internal/wire"
)

// Error is the class of this package's errors.
var Error = errs.Class("control")

// Log is the replicated log of commands.
type Log interface {
	// Propose appends a command and returns its result once it is applied.
	Propose(ctx context.Context, command *wire.Command) (*wire.CommandResult, error)
}

// Control is the control role of an instance.
type Control struct {
	instance *machine.Instance
	log      Log
	changed  chan struct{}
}

// New prepares the control role of an instance.
func New(instance *machine.Instance) (*Control, error) {
	return &Control{
		instance: instance,
		log:      newSoloLog(instance.Store),
		changed:  make(chan struct{}, 1),
	}, nil
}

// Run registers zones until ctx ends.
func (c *Control) Run(ctx context.Context) error {
	stopWatch := c.instance.Store.Watch(func([]*wire.Record) { c.signalChange() })
	defer stopWatch()
	if solo, ok := c.log.(*soloLog); ok {
		go solo.followLease(ctx)
	}
	c.signalChange()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.changed:
			c.registerZones(ctx)
		}
	}
}

func (c *Control) signalChange() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// registerZones makes the zones of all instances known.
func (c *Control) registerZones(ctx context.Context) {
	for _, record := range c.instance.Store.List(wire.Record_KIND_ENDPOINT, wire.Record_KIND_BALANCER) {
		name := zoneOf(record)
		if name == "" || c.instance.Store.Get(wire.Record_KIND_ZONE, name) != nil {
			continue
		}
		command := &wire.Command{Body: &wire.Command_RegisterZone{RegisterZone: &wire.RegisterZone{Name: name}}}
		if _, err := c.log.Propose(ctx, command); err != nil {
			c.instance.Log.Warn().Str("zone", name).Err(err).Msg("zone not registered")
		}
	}
}

func zoneOf(record *wire.Record) string {
	if record.Kind == wire.Record_KIND_ENDPOINT {
		endpoint := new(wire.Endpoint)
		if proto.Unmarshal(record.Value, endpoint) == nil {
			return endpoint.Zone
		}
		return ""
	}
	balancer := new(wire.Balancer)
	if proto.Unmarshal(record.Value, balancer) == nil {
		return balancer.Zone
	}
	return ""
}

// Drain has nothing to wait for.
func (c *Control) Drain(context.Context) {}

// ServeStream answers commands.
func (c *Control) ServeStream(ctx context.Context, request *wire.Request, stream net.Conn) bool {
	command := request.GetCommand()
	if command == nil {
		return false
	}
	response := new(wire.Response)
	result, err := c.log.Propose(ctx, command)
	if err != nil {
		response.Error = err.Error()
	} else {
		response.Body = &wire.Response_Command{Command: result}
	}
	if err := link.WriteMessage(stream, response); err != nil {
		c.instance.Log.Debug().Err(err).Msg("command result not sent")
	}
	return true
}

// Health returns nil: a control instance serves as long as it runs.
func (c *Control) Health() error {
	return nil
}

// Details says nothing yet about the log.
func (c *Control) Details() []string {
	return nil
}
