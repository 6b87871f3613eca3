package control

import (
	"context"
	"net"
	"time"

	"sassafrasturn.example/internal/catalog"
	"sassafrasturn.example/internal/consensus"
	"sassafrasturn.example/internal/link"
	"sassafrasturn.example/internal/pause"
	"sassafrasturn.example/internal/wire"
)

const (
	// proposalTimeout limits the wait for the result of a proposal.
	proposalTimeout = 2500 * time.Millisecond
	// leaderTimeout limits the wait until a leader is known.
	leaderTimeout      = 1500 * time.Millisecond
	leaderPollInterval = 50 * time.Millisecond
)

var errNoLeader = Error.New("not run: no leader is known, possibly because no majority of the control instances is up; see sassafrasturnctl status")

// ServeStream serves commands and requests about the control group. It reports
// false, without reading or writing, for requests of another kind.
func (c *Control) ServeStream(ctx context.Context, request *wire.Request, stream net.Conn) bool {
	switch body := request.Body.(type) {
	case *wire.Request_Command:
		c.respond(stream, c.serveCommand(ctx, body.Command))
	case *wire.Request_Consensus:
		c.serveConsensus(ctx, body.Consensus, stream)
	default:
		return false
	}
	return true
}

func (c *Control) respond(stream net.Conn, response *wire.Response) {
	if err := link.WriteMessage(stream, response); err != nil {
		c.instance.Log.Debug().Err(err).Msg("response not sent")
	}
}

func (c *Control) isLeader() bool {
	return c.loop.status.Load().Role == consensus.Leader
}

// awaitLeader waits until this instance leads or knows the leader's address. Both
// results are zero if neither happens within leaderTimeout.
func (c *Control) awaitLeader(ctx context.Context) (isSelf bool, address string) {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	for {
		status := c.loop.status.Load()
		if status.Role == consensus.Leader {
			return true, ""
		}
		for _, member := range status.Group.GetMembers() {
			if member.Id == status.Leader {
				return false, member.Address
			}
		}
		if !pause.For(ctx, leaderPollInterval) {
			return false, ""
		}
	}
}

// serveAsLeader serves a request that only the leader can serve. Other instances
// return a redirect to the leader.
func (c *Control) serveAsLeader(ctx context.Context, serve func() (*wire.Response, error)) *wire.Response {
	isSelf, address := c.awaitLeader(ctx)
	if address != "" {
		return &wire.Response{Redirect: address}
	}
	if !isSelf {
		return &wire.Response{Error: errNoLeader.Error()}
	}
	response, err := serve()
	if err != nil {
		return &wire.Response{Error: err.Error()}
	}
	return response
}

func (c *Control) serveCommand(ctx context.Context, command *wire.Command) *wire.Response {
	return c.serveAsLeader(ctx, func() (*wire.Response, error) {
		result, err := c.propose(ctx, command)
		if err != nil {
			return nil, err
		}
		c.logResult(command, result)
		return &wire.Response{Body: &wire.Response_Command{Command: result}}, nil
	})
}

func (c *Control) logResult(command *wire.Command, result *wire.CommandResult) {
	c.instance.Log.Info().Str("submission", command.SubmissionId).
		Str("service", command.GetSubmit().GetService()+command.GetWithdraw().GetService()).
		Str("zone", command.GetSetZone().GetName()).Bool("out", command.GetSetZone().GetOut()).
		Uint64("routing_version", command.GetReplaceRouting().GetVersion()).
		Stringer("outcome", result.Outcome).Uint64("index", result.Index).Uint64("version", result.Version).
		Msg("command answered")
}

// propose validates a command, appends it to the log and waits until it is applied.
func (c *Control) propose(ctx context.Context, command *wire.Command) (*wire.CommandResult, error) {
	if c.isDraining.Load() {
		return nil, errStopped
	}
	if refused := catalog.Prepare(command); refused != nil {
		return refused, nil
	}
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	return c.loop.submit(ctx, func(now time.Duration, done func(*wire.CommandResult, error)) {
		c.replica.propose(now, command, done)
	})
}

func (c *Control) serveConsensus(ctx context.Context, request *wire.ConsensusRequest, stream net.Conn) {
	switch body := request.Body.(type) {
	case nil:
		c.notifyReceived(request.From)
		_ = c.loop.do(ctx, func(now time.Duration) error {
			c.replica.core.Connected(now)
			return nil
		})
		c.receive(ctx, stream)
	case *wire.ConsensusRequest_Identity:
		c.respond(stream, consensusResponse(&wire.ConsensusResponse{Identity: c.identity()}))
	case *wire.ConsensusRequest_List:
		c.respond(stream, consensusResponse(&wire.ConsensusResponse{Group: c.loop.status.Load().Group}))
	case *wire.ConsensusRequest_Add:
		c.respond(stream, c.serveAsLeader(ctx, func() (*wire.Response, error) { return c.addMember(ctx, body.Add) }))
	case *wire.ConsensusRequest_Join:
		c.respond(stream, c.serveAsLeader(ctx, func() (*wire.Response, error) { return c.handleJoin(ctx, body.Join) }))
	case *wire.ConsensusRequest_Remove:
		c.respond(stream, c.serveAsLeader(ctx, func() (*wire.Response, error) { return c.removeMember(ctx, body.Remove) }))
	}
}

func consensusResponse(body *wire.ConsensusResponse) *wire.Response {
	return &wire.Response{Body: &wire.Response_Consensus{Consensus: body}}
}

// receive reads the messages of another member until the stream ends. It drops
// messages that are not addressed to the identity of this instance.
func (c *Control) receive(ctx context.Context, stream net.Conn) {
	for {
		m, err := readMessage(stream)
		if err != nil {
			return
		}
		if own := c.loop.identity.Load(); m.To != own.Id || m.ToDisk != own.Disk {
			continue
		}
		c.updateMemberAddress(m.From, m.FromAddress)
		c.notifyReceived(m.From)
		if !c.loop.deliver(ctx, m) {
			return
		}
	}
}

func (c *Control) identity() *wire.DiskIdentity {
	own := c.loop.identity.Load()
	status := c.loop.status.Load()
	return &wire.DiskIdentity{
		Id:       own.Id,
		Disk:     own.Disk,
		Group:    status.Group,
		MayFound: c.instance.Settings.Opaque.MayBootstrap && status.Group.GetNumber() == 0,
		Leads:    status.Role == consensus.Leader && status.IsGroupCommitted && c.loop.isCurrent(),
		Zone:     c.instance.Settings.Zone,
	}
}

// addMember adds an instance with an empty data folder that runs at an address.
func (c *Control) addMember(ctx context.Context, add *wire.AddControl) (*wire.Response, error) {
	identity, err := c.queryIdentity(ctx, add.Address)
	if err != nil {
		return nil, err
	}
	if identity.Id != add.Id {
		return nil, Error.New("the instance at %s has id %d in its settings, not %d", add.Address, identity.Id, add.Id)
	}
	if identity.Group.GetNumber() != 0 {
		return nil, Error.New("the instance at %s belongs to a control group already; give it an empty data folder", add.Address)
	}
	member := &wire.ControlMember{Id: add.Id, Address: add.Address, Disk: identity.Disk, Replaces: add.Replaces}
	return c.changeGroup(ctx, func(now time.Duration, done func(*wire.CommandResult, error)) {
		c.replica.addMember(now, member, done)
	})
}

func (c *Control) removeMember(ctx context.Context, remove *wire.RemoveControl) (*wire.Response, error) {
	return c.changeGroup(ctx, func(now time.Duration, done func(*wire.CommandResult, error)) {
		c.replica.removeMember(now, remove.Id, done)
	})
}

func (c *Control) changeGroup(ctx context.Context, start func(time.Duration, func(*wire.CommandResult, error))) (*wire.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	if _, err := c.loop.submit(ctx, start); err != nil {
		return nil, err
	}
	return consensusResponse(&wire.ConsensusResponse{Group: c.loop.status.Load().Group}), nil
}
