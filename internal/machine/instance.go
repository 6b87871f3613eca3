// Package machine runs one instance of the system. It provides what all roles share:
// links to other instances, records, zone lease, log, metrics and health check.
package machine

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"

	"sassafrasturn.example/internal/decisionlog"
	"sassafrasturn.example/internal/exchange"
	"sassafrasturn.example/internal/keyring"
	"sassafrasturn.example/internal/link"
	"sassafrasturn.example/internal/settings"
	"sassafrasturn.example/internal/wire"
	"sassafrasturn.example/internal/zone"
)

// Error is the class of this package's errors.
var Error = errs.Class("instance")

// Role is a role of an instance: control, balancer or agent.
type Role interface {
	// Run runs the role until ctx ends.
	Run(ctx context.Context) error
	// Drain stops accepting new work and returns when no work is in flight or ctx
	// ends. Run continues during Drain.
	Drain(ctx context.Context)
	// ServeStream answers a request received on a link. It returns false if the role
	// does not serve this kind of request.
	ServeStream(ctx context.Context, request *wire.Request, stream net.Conn) bool
	// Health returns the reason why the role cannot serve, or nil.
	Health() error
	// Details returns human-readable "name: value" lines about the role.
	Details() []string
}

// Instance holds what the roles of one process share.
type Instance struct {
	Settings  *settings.Settings
	Log       *log.Logger
	Decisions *decisionlog.Logger
	Keys      *keyring.Keyring
	Store     *exchange.Store
	Dialer    *link.Dialer
	Metrics   *prometheus.Registry
	// ListenUDP opens the UDP sockets for callers' datagrams and for envelopes.
	ListenUDP func(address netip.AddrPort) (Socket, error)
	// DialTCP opens connections from an agent to its endpoint.
	DialTCP func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// Lease determines whether a balancer may forward with its current view of the
	// zones.
	Lease *zone.LeaseHolder
	// RoleSetsAppliedIndex is true if a role routes by the zones and therefore calls
	// Lease.SetAppliedIndex itself, after it has applied a zone change.
	RoleSetsAppliedIndex bool
	// Incarnation is the time of the start in Unix milliseconds. It differs between
	// any two starts and increases unless the wall clock was set back. Records are
	// published under PublishedIncarnation.
	Incarnation uint64

	// zones caches the zone records of the store.
	zones   atomic.Pointer[zoneRecords]
	zonesMu sync.Mutex

	// Source is where changed settings are read from. With the zero value, settings
	// are not reloaded.
	Source SettingsSource
	// peers are the peers in the latest settings.
	peers atomic.Pointer[[]netip.AddrPort]

	logWriter *logWriter
	publisher publisher
	mesh      *exchange.Mesh
	server    *link.Server
	roles     []Role
}

// New returns an instance with the given settings. It starts nothing; see Run.
func New(s *settings.Settings) (*Instance, error) {
	keys, err := loadKeys(s)
	if err != nil {
		return nil, err
	}
	clientTLS, serverTLS, err := link.LoadTLS(s.Cluster.TLSCertificate, s.Cluster.TLSKey, s.Cluster.TLSAuthority)
	if err != nil {
		return nil, err
	}
	writer := newLogWriter(os.Stdout)
	logger := newLogger(s, writer)
	instance := &Instance{
		Settings:    s,
		Log:         logger,
		Decisions:   decisionlog.New(logger, s.Log.DecisionsPerSecond),
		Keys:        keys,
		Store:       exchange.NewStore(),
		Dialer:      &link.Dialer{TLS: clientTLS},
		Metrics:     newRegistry(),
		ListenUDP:   listenUDP,
		DialTCP:     dialTCP,
		Lease:       zone.NewLeaseHolder(),
		Incarnation: uint64(time.Now().UnixMilli()),
	}
	instance.logWriter = writer
	writer.register(instance.Metrics)
	instance.peers.Store(&s.Cluster.Peers)
	instance.logWarnings(s)
	instance.server = &link.Server{TLS: serverTLS, Handler: instance}
	instance.mesh = exchange.NewMesh(instance.meshConfig())
	registerLinkMetrics(instance.Metrics, instance.Store, instance.mesh, instance.server)
	return instance, nil
}

// loadKeys returns the keys of the cluster, or nil if the cluster is insecure.
func loadKeys(s *settings.Settings) (*keyring.Keyring, error) {
	if s.Cluster.IsInsecure {
		return nil, nil
	}
	return keyring.Load(s.Cluster.KeyFile)
}

func (i *Instance) meshConfig() exchange.MeshConfig {
	config := exchange.MeshConfig{
		Store:      i.Store,
		Dialer:     i.Dialer,
		Self:       exchange.Peer{Instance: i.Settings.Instance, Address: i.Settings.Link.Address().String()},
		IsPartial:  i.Settings.Role == settings.RoleAgent,
		KeepsSeeds: i.Settings.Role == settings.RoleControl,
	}
	for _, peer := range i.Settings.Cluster.Peers {
		if peer != i.Settings.Link.Address() {
			config.Seeds = append(config.Seeds, peer.String())
		}
	}
	return config
}

// AddRole adds a role. Roles are drained in the order in which they were added.
func (i *Instance) AddRole(role Role) {
	i.roles = append(i.roles, role)
}

// Run runs the roles until ctx ends, then drains them one after the other and stops.
// It returns the first error that ended a role.
func (i *Instance) Run(ctx context.Context) error {
	defer i.logWriter.flush()
	// The links outlive the roles, so that records published while draining still
	// reach other instances.
	linkCtx, stopLinks := context.WithCancel(context.Background())
	defer stopLinks()
	if i.Keys != nil {
		go i.watchKeyFile(linkCtx)
	} else {
		i.Log.Warn().Msg("insecure = true: messages from other instances are not authenticated; keep the network between instances private")
	}
	if err := i.serveMetrics(linkCtx); err != nil {
		return err
	}
	go i.watchSettings(linkCtx)
	if i.Settings.Mode == settings.ModeOpaque {
		return i.runOpaque(ctx, linkCtx)
	}
	if err := i.serveLinks(linkCtx); err != nil {
		return err
	}
	stopWatch := i.Store.Watch(i.checkConflicts)
	defer stopWatch()
	go i.refuteConflicts(linkCtx)
	go i.mesh.Run(linkCtx)
	i.startLeaseUpdates(linkCtx)
	return i.runRoles(ctx)
}

// runOpaque runs the roles of the opaque mode. They exchange no records, and only
// control instances accept links.
func (i *Instance) runOpaque(ctx, linkCtx context.Context) error {
	if i.isControl() {
		if err := i.serveLinks(linkCtx); err != nil {
			return err
		}
	}
	return i.runRoles(ctx)
}

func (i *Instance) serveLinks(ctx context.Context) error {
	listener, err := net.Listen("tcp", i.Settings.Link.Listen.String())
	if err != nil {
		return Error.Wrap(err)
	}
	go i.server.Serve(ctx, listener)
	return nil
}

func (i *Instance) runRoles(ctx context.Context) error {
	roleCtx, stopRoles := context.WithCancel(context.Background())
	defer stopRoles()
	failed := make(chan error, len(i.roles))
	for _, role := range i.roles {
		go func() { failed <- role.Run(roleCtx) }()
	}
	i.Log.Info().Str("role", string(i.Settings.Role)).Str("zone", i.Settings.Zone).
		Stringer("link", i.Settings.Link.Address()).Msg("instance started")
	select {
	case err := <-failed:
		if err != nil {
			return err
		}
		return Error.New("a role returned before the instance was stopped")
	case <-ctx.Done():
	}
	i.Log.Info().Msg("instance stopping")
	i.drain()
	if i.Settings.Mode != settings.ModeOpaque {
		i.withdraw()
	}
	stopRoles()
	time.Sleep(lastRecordDelay)
	i.Log.Info().Msg("instance stopped")
	return nil
}

// lastRecordDelay is the time for the last published records to reach the peers.
const lastRecordDelay = 100 * time.Millisecond

func (i *Instance) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), i.Settings.ShutdownTimeout)
	defer cancel()
	for _, role := range i.roles {
		role.Drain(ctx)
	}
}

// ServeStream answers a request received on a link. It handles requests that concern
// the instance rather than one role, and passes all others to the role that serves them.
func (i *Instance) ServeStream(ctx context.Context, request *wire.Request, stream net.Conn) {
	switch request.Body.(type) {
	case *wire.Request_Exchange:
		// The error only describes how the stream ended.
		_ = i.mesh.Accept(ctx, stream)
		return
	case *wire.Request_Lease:
		i.serveLease(request.GetLease(), stream)
		return
	case *wire.Request_Status:
		i.respond(stream, &wire.Response{Body: &wire.Response_Status{Status: i.status(request.GetStatus())}})
		return
	case *wire.Request_List:
		list := &wire.ListResponse{Records: i.Store.List(request.GetList().Kinds...)}
		i.respond(stream, &wire.Response{Body: &wire.Response_List{List: list}})
		return
	}
	for _, role := range i.roles {
		if role.ServeStream(ctx, request, stream) {
			return
		}
	}
	i.respond(stream, &wire.Response{Error: "this instance does not serve this kind of request; send it to a control instance"})
}

func (i *Instance) respond(stream net.Conn, response *wire.Response) {
	if err := link.WriteMessage(stream, response); err != nil {
		i.Log.Debug().Err(err).Msg("response not sent")
	}
}

func (i *Instance) status(request *wire.StatusRequest) *wire.StatusResponse {
	status := &wire.StatusResponse{
		Instance: i.Settings.Instance,
		Role:     string(i.Settings.Role),
		Zone:     i.Settings.Zone,
	}
	if record := i.Store.Get(request.Kind, request.Key); record != nil {
		status.RecordIndex = record.Major
	}
	for _, record := range i.Store.List(wire.Record_KIND_SERVICE, wire.Record_KIND_ZONE) {
		status.AppliedIndex = max(status.AppliedIndex, record.Major)
	}
	for _, role := range i.roles {
		status.Details = append(status.Details, role.Details()...)
	}
	return status
}

// Health returns the reason why the instance cannot serve, or nil.
func (i *Instance) Health() error {
	for _, role := range i.roles {
		if err := role.Health(); err != nil {
			return err
		}
	}
	return nil
}
