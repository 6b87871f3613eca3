// Package control implements the control role: it replicates the log of service
// documents, zone states and routing tables, and publishes the applied state.
package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
	"sassafrasturn.example/internal/consensus"
	"sassafrasturn.example/internal/journal"
	"sassafrasturn.example/internal/machine"
	"sassafrasturn.example/internal/pause"
	"sassafrasturn.example/internal/settings"
	"sassafrasturn.example/internal/wire"
)

// Error is the class of this package's errors.
var Error = errs.Class("control")

// Control is the control role of an instance.
type Control struct {
	instance  *machine.Instance
	replica   *replica
	loop      *loop
	transport atomic.Pointer[transport]
	changed   chan struct{}
	// discovery is nil unless the instance runs in the opaque mode.
	discovery *discovery

	isDraining atomic.Bool

	// imbalance is the newest consensus.Reconfiguration.Imbalance, and kept are the IDs of the
	// silent members that were last logged as not replaced. Only the loop uses kept.
	imbalance atomic.Int64
	kept      []uint64
}

const (
	drainPollInterval       = 10 * time.Millisecond
	leadershipTransferDelay = 200 * time.Millisecond
)

// New opens the data folder of an instance and restores its control role from it. While
// no more can be written to the disk, it waits, until ctx is cancelled.
func New(ctx context.Context, instance *machine.Instance) (*Control, error) {
	c := &Control{instance: instance, changed: make(chan struct{}, 1)}
	folder, err := openWhenWritable(ctx, c.logDiskState, func() (journal.Folder, error) {
		return journal.OpenFolder(instance.Settings.DataFolder)
	})
	if err != nil {
		return nil, err
	}
	var started time.Time
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	out := outputs{send: c.send, publish: func(records []*wire.Record) { instance.Store.Merge(records) }}
	c.replica, err = openWhenWritable(ctx, c.logDiskState, func() (*replica, error) {
		started = time.Now()
		return openReplica(folder, uint64(instance.Settings.Control.ID), random, 0, instance.Settings.Opaque.MaxFlowLifetime, out)
	})
	if err != nil {
		return nil, err
	}
	c.replica.setZone(instance.Settings.Zone)
	c.replica.outputs.reconfigured = c.recordReconfiguration
	c.loop = newLoop(c.replica, started, c.updateMemberAddress)
	c.loop.onStatusChange = c.logStatusChange
	c.loop.onDiskState = c.logDiskState
	registerMetrics(instance.Metrics, c.loop, &c.imbalance)
	if instance.Settings.Mode == settings.ModeOpaque {
		c.replica.targetVoters = instance.Settings.Opaque.Voters
		if c.discovery, err = newDiscovery(c); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *Control) send(m *wire.ConsensusMessage) {
	if t := c.transport.Load(); t != nil {
		t.send(m)
	}
}

func (c *Control) updateMemberAddress(id uint64, address string) {
	if t := c.transport.Load(); t != nil {
		t.updateMemberAddress(id, address)
	}
}

func (c *Control) notifyReceived(id uint64) {
	if t := c.transport.Load(); t != nil {
		t.notifyReceived(id)
	}
}

// logStatusChange logs a change of the role, leader, term or members that this instance
// observes in its group.
func (c *Control) logStatusChange(before, after *consensus.Status) {
	if before.Role == after.Role && before.Leader == after.Leader && before.Term == after.Term && before.Group == after.Group {
		return
	}
	var members []string
	for _, member := range after.Group.GetMembers() {
		members = append(members, DescribeMember(member))
	}
	c.instance.Log.Info().Stringer("role", after.Role).Uint64("leader", after.Leader).Uint64("term", after.Term).
		Uint64("committed", after.Commit).Strs("members", members).Msg("control group changed")
}

// recordReconfiguration logs the silent members that the leader does not replace yet.
func (c *Control) recordReconfiguration(decided *consensus.Reconfiguration) {
	c.imbalance.Store(int64(decided.Imbalance))
	var ids []uint64
	for _, member := range decided.Kept {
		ids = append(ids, member.Id)
		if !slices.Contains(c.kept, member.Id) {
			c.instance.Log.Warn().Str("member", DescribeMember(member)).Dur("loss_timeout_ms", consensus.LossTimeout).
				Msg("silent control member not replaced yet: too many voters would be in one zone")
		}
	}
	if len(ids) > 0 {
		c.kept = ids
	}
}

// Run joins or forms the control group and takes part in consensus until ctx is
// cancelled. In the opaque mode it also serves discovery, and in other modes it
// registers zones. An error means that the instance must stop.
func (c *Control) Run(ctx context.Context) error {
	s := c.instance.Settings
	id := uint64(s.Control.ID)
	c.transport.Store(&transport{
		ctx: ctx, log: c.instance.Log, id: id, address: s.Link.Address().String(), senders: make(map[uint64]*sender),
		dial: func(ctx context.Context, address string) (memberLink, error) {
			return dialMember(ctx, c.instance.Dialer, address, c.loop.identity.Load().Id)
		},
	})
	if s.Mode == settings.ModeOpaque {
		go c.join(ctx)
		go c.discovery.run(ctx)
	} else {
		go c.bootstrap(ctx)
		go c.watchZones(ctx)
	}
	return c.loop.run(ctx)
}

// zoneRetryInterval is the time between attempts to register zones. Only the
// leader registers them.
const zoneRetryInterval = time.Second

func (c *Control) watchZones(ctx context.Context) {
	stopWatch := c.instance.Store.Watch(func([]*wire.Record) { c.signalChange() })
	defer stopWatch()
	ticker := time.NewTicker(zoneRetryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.changed:
		case <-ticker.C:
		}
		c.registerZones(ctx)
	}
}

func (c *Control) signalChange() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// registerZones proposes each zone that an instance reports and that is not
// registered yet. It does nothing on instances that do not lead.
func (c *Control) registerZones(ctx context.Context) {
	if !c.isLeader() {
		return
	}
	for _, name := range c.unregisteredZones() {
		command := &wire.Command{Body: &wire.Command_RegisterZone{RegisterZone: &wire.RegisterZone{Name: name}}}
		if _, err := c.propose(ctx, command); err != nil {
			c.instance.Log.Warn().Str("zone", name).Err(err).Msg("zone not registered")
		}
	}
}

func (c *Control) unregisteredZones() []string {
	var names []string
	seen := make(map[string]bool)
	for _, record := range c.instance.Store.List(wire.Record_KIND_ENDPOINT, wire.Record_KIND_BALANCER) {
		// A record that cannot be parsed has an empty zone.
		member, _ := wire.MemberOf(record)
		name := member.Zone
		if name == "" || seen[name] || c.instance.Store.Get(wire.Record_KIND_ZONE, name) != nil {
			continue
		}
		seen[name] = true
		names = append(names, name)
	}
	return names
}

// Drain refuses new proposals, waits until the pending ones are answered, and then
// transfers leadership to another member.
func (c *Control) Drain(ctx context.Context) {
	c.isDraining.Store(true)
	for c.isLeader() && ctx.Err() == nil {
		isIdle := false
		err := c.loop.do(ctx, func(now time.Duration) error {
			isIdle = len(c.replica.pending) == 0
			if isIdle {
				c.replica.core.TransferLeadership(now)
			}
			return nil
		})
		if err != nil || isIdle {
			break
		}
		time.Sleep(drainPollInterval)
	}
	// Leaves time to send the leadership transfer message before the links close.
	pause.For(ctx, leadershipTransferDelay)
}

// Health returns an error while the instance belongs to no control group or its
// disk cannot be written.
func (c *Control) Health() error {
	if c.loop.isDiskFailed.Load() {
		return Error.New("the disk cannot be written; the instance does not take part in consensus until it can")
	}
	if c.loop.status.Load().Group.GetNumber() == 0 {
		return Error.New("the instance does not belong to a control group yet; it is waiting for the members in its settings, or for sassafrasturnctl control add")
	}
	return nil
}

// Details returns the ID, role, leader, term, log indexes and group members as
// this instance observes them, one per line.
func (c *Control) Details() []string {
	status := c.loop.status.Load()
	lines := []string{
		fmt.Sprintf("control id: %d", c.loop.identity.Load().Id),
		fmt.Sprintf("control role: %s", status.Role),
		fmt.Sprintf("control leader: %d", status.Leader),
		fmt.Sprintf("control term: %d", status.Term),
		fmt.Sprintf("control log: committed %d, applied %d, last %d", status.Commit, status.Applied, status.Last),
	}
	for _, member := range status.Group.GetMembers() {
		lines = append(lines, fmt.Sprintf("control member: %s", DescribeMember(member)))
	}
	return lines
}

// DescribeMember returns a one-line description of a member.
func DescribeMember(member *wire.ControlMember) string {
	state := "voter"
	if !member.Voter {
		state = "learner"
	}
	line := fmt.Sprintf("%d@%s %s", member.Id, member.Address, state)
	if member.Zone != "" {
		line += " in " + member.Zone
	}
	if member.Replaces != 0 {
		line += fmt.Sprintf(", replaces %d", member.Replaces)
	}
	return line
}
