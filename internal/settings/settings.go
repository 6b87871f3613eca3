// Package settings reads and validates the INI settings file of an instance.
package settings

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"sassafrasturn.example/internal/finding"
	"sassafrasturn.example/internal/inifile"
)

// Error is the class of this package's errors.
var Error = errs.Class("settings")

// Role is what an instance does.
type Role string

// Roles of an instance.
const (
	RoleBalancer Role = "balancer"
	RoleAgent    Role = "agent"
	RoleControl  Role = "control"
	// RoleAll runs the three roles and a sample endpoint in one process.
	RoleAll Role = "all"
)

// Delivery is how the network fabric delivers callers' datagrams to a balancer.
type Delivery string

// Delivery modes.
const (
	// DeliveryServiceAddress means that datagrams arrive at the address in the service
	// document.
	DeliveryServiceAddress Delivery = "service-address"
	// DeliveryDocumentPort means that datagrams arrive at the balancer's own IP address,
	// at the port in the service document.
	DeliveryDocumentPort Delivery = "document-port"
)

// Defaults of optional values.
const (
	DefaultDecisionsPerSecond = 20
	DefaultShutdownTimeout    = 10 * time.Minute

	maxDecisionsPerSecond = 1_000_000
	// maxKbitPerSecond is the rate of a link of 1 Tbit/s.
	maxKbitPerSecond = 1_000_000_000
	kbitBytes        = 1000 / 8
	maxControlID     = 1_000_000
)

// Settings holds the validated settings of an instance.
type Settings struct {
	Role Role
	// Mode is how callers' flows are transported and where they end.
	Mode Mode
	// Instance is the unique name of the instance.
	Instance string
	// Zone is the name of the availability zone that the instance runs in.
	Zone string
	// DataFolder is the folder of the durable state. Only control instances need it.
	DataFolder string
	// ShutdownTimeout limits how long a graceful shutdown waits for requests in flight.
	ShutdownTimeout time.Duration

	Cluster  Cluster
	Link     Link
	Metrics  Metrics
	Log      Log
	Balancer Balancer
	Agent    Agent
	Control  Control
	Opaque   Opaque

	// Warnings are about entries of the settings file that were left out. They are logged.
	Warnings []string
}

// Cluster holds the addresses of other instances and the files for authentication.
type Cluster struct {
	// KeyFile is the path of the key file. It is empty if IsInsecure is set.
	KeyFile string
	// IsInsecure disables the authentication of datagrams between instances.
	IsInsecure bool
	// Peers are link addresses of instances through which this one joins the cluster.
	Peers []netip.AddrPort
	// TLSCertificate, TLSKey and TLSAuthority are paths of PEM files. Either all or none
	// are set.
	TLSCertificate string
	TLSKey         string
	TLSAuthority   string
}

// Link holds the address at which other instances and operators reach this one.
type Link struct {
	Listen netip.AddrPort
	// Advertise is the address at which others reach Listen, for example through a
	// forwarded port. If it is not set, others use Listen.
	Advertise netip.AddrPort
	// BytesPerSecond is the rate of the network link of the instance in each direction, 0 if it is
	// not known.
	BytesPerSecond int
}

// Address returns the address at which other instances reach this one.
func (l Link) Address() netip.AddrPort {
	if l.Advertise.IsValid() {
		return l.Advertise
	}
	return l.Listen
}

// Metrics holds the address at which metrics and the health check are served.
type Metrics struct {
	Listen netip.AddrPort
}

// Log configures logging.
type Log struct {
	// Level is one of debug, info, warn, error.
	Level string
	// DecisionsPerSecond limits the decisions that are logged per second; -1 logs all.
	DecisionsPerSecond int
}

// Balancer holds the settings of the balancer role.
type Balancer struct {
	Delivery Delivery
	// Address is the IP address at which callers' datagrams arrive with DeliveryDocumentPort.
	Address netip.Addr
	// Envelope is the UDP address for envelopes.
	Envelope netip.AddrPort
}

// Agent holds the settings of the agent role.
type Agent struct {
	// Envelope is the UDP address for envelopes, an IPv4 address.
	Envelope netip.AddrPort
	// Announce is the loopback HTTP address at which the endpoint announces itself.
	Announce netip.AddrPort
	// Certificate and CertificateKey are the paths of the PEM files with the service's
	// certificate and its key.
	Certificate    string
	CertificateKey string
}

// Control holds the settings of the control role.
type Control struct {
	// ID identifies this control instance. It must not be reused after its disk is lost.
	ID int
	// Members lists the initial voters, written as id@ip:port with their link addresses.
	Members []Member
}

// Member is one voter of the control group.
type Member struct {
	ID   uint64
	Link netip.AddrPort
}

const (
	sectionInstance = "instance"
	sectionCluster  = "cluster"
	sectionLink     = "link"
	sectionMetrics  = "metrics"
	sectionLog      = "log"
	sectionBalancer = "balancer"
	sectionAgent    = "agent"
	sectionControl  = "control"
)

// Load reads and validates a settings file. It returns findings as a *finding.Error.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	s, err := Parse(path, data)
	if err != nil {
		return nil, err
	}
	s.resolvePaths(filepath.Dir(path))
	return s, nil
}

// resolvePaths resolves relative paths against the folder of the settings file.
func (s *Settings) resolvePaths(folder string) {
	paths := []*string{
		&s.DataFolder, &s.Cluster.KeyFile,
		&s.Cluster.TLSCertificate, &s.Cluster.TLSKey, &s.Cluster.TLSAuthority,
		&s.Agent.Certificate, &s.Agent.CertificateKey,
	}
	for _, path := range paths {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(folder, *path)
		}
	}
}

// Parse reads and validates the text of the settings file called name. It returns
// findings as a *finding.Error.
func Parse(name string, data []byte) (*Settings, error) {
	var findings finding.List
	file := inifile.Parse(name, data, &findings)
	s := read(file)
	// Which sections are known depends on the role.
	if s.Role != "" {
		file.ReportUnknown()
	}
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func read(file *inifile.File) *Settings {
	s := &Settings{
		Role:            Role(file.Choice(sectionInstance, "role", "", string(RoleBalancer), string(RoleAgent), string(RoleControl), string(RoleAll))),
		Mode:            Mode(file.Choice(sectionInstance, "mode", string(ModeQUIC), string(ModeQUIC), string(ModeOpaque))),
		Instance:        file.RequiredString(sectionInstance, "name", "a name that no other instance has"),
		Zone:            file.RequiredString(sectionInstance, "zone", "the name of an availability zone"),
		DataFolder:      file.String(sectionInstance, "data", ""),
		ShutdownTimeout: file.Duration(sectionInstance, "shutdown_timeout", DefaultShutdownTimeout, time.Second, 24*time.Hour),
		Cluster:         readCluster(file),
		Link: Link{
			Listen: file.RequiredAddrPort(sectionLink, "listen"), Advertise: file.AddrPort(sectionLink, "advertise"),
			BytesPerSecond: file.Int(sectionLink, "kbit_per_second", 0, 0, maxKbitPerSecond) * kbitBytes,
		},
		Metrics: Metrics{Listen: file.AddrPort(sectionMetrics, "listen")},
		Log:     readLog(file),
	}
	if strings.ContainsAny(s.Zone, " \t") {
		file.Reject(sectionInstance, "zone", s.Zone, "a name without spaces or tabs")
	}
	readRoles(file, s)
	return s
}

func readCluster(file *inifile.File) Cluster {
	cluster := Cluster{
		KeyFile:        file.String(sectionCluster, "keys", ""),
		IsInsecure:     readBool(file, sectionCluster, "insecure"),
		Peers:          file.AddrPorts(sectionCluster, "peers"),
		TLSCertificate: file.String(sectionCluster, "tls_certificate", ""),
		TLSKey:         file.String(sectionCluster, "tls_key", ""),
		TLSAuthority:   file.String(sectionCluster, "tls_authority", ""),
	}
	if (cluster.KeyFile == "") != cluster.IsInsecure {
		file.Reject(sectionCluster, "keys", cluster.KeyFile, "the path of the cluster's key file, or insecure = true instead")
	}
	configured := 0
	for _, path := range []string{cluster.TLSCertificate, cluster.TLSKey, cluster.TLSAuthority} {
		if path != "" {
			configured++
		}
	}
	if configured != 0 && configured != 3 {
		file.Reject(sectionCluster, "tls_certificate", cluster.TLSCertificate, "tls_certificate, tls_key and tls_authority together, or none of them")
	}
	return cluster
}

func readLog(file *inifile.File) Log {
	return Log{
		Level:              file.Choice(sectionLog, "level", "info", "debug", "info", "warn", "error"),
		DecisionsPerSecond: file.Int(sectionLog, "decisions_per_second", DefaultDecisionsPerSecond, -1, maxDecisionsPerSecond),
	}
}

func readBool(file *inifile.File, section, key string) bool {
	return file.Choice(section, key, "false", "true", "false") == "true"
}

func readRoles(file *inifile.File, s *Settings) {
	if s.Mode == ModeOpaque {
		readOpaque(file, s)
		return
	}
	if s.Cluster.IsInsecure {
		file.Reject(sectionCluster, "insecure", "true", "false; only the opaque mode supports instances without keys")
	}
	if s.Role == RoleBalancer || s.Role == RoleAll {
		s.Balancer = readBalancer(file)
	}
	if s.Role == RoleAgent || s.Role == RoleAll {
		s.Agent = readAgent(file)
	}
	if s.Role == RoleControl || s.Role == RoleAll {
		s.Control = readControl(file)
		if s.DataFolder == "" {
			file.Reject(sectionInstance, "data", "", "the path of a folder on a disk, in which control stores its state")
		}
	}
}

func readBalancer(file *inifile.File) Balancer {
	choices := []string{string(DeliveryServiceAddress), string(DeliveryDocumentPort)}
	balancer := Balancer{
		Delivery: Delivery(file.Choice(sectionBalancer, "delivery", choices[0], choices...)),
		Envelope: file.RequiredAddrPort(sectionBalancer, "envelope"),
	}
	text := file.String(sectionBalancer, "address", "")
	if balancer.Delivery == DeliveryDocumentPort {
		address, err := netip.ParseAddr(text)
		if err != nil {
			file.Reject(sectionBalancer, "address", text, "the IP address at which datagrams arrive")
		}
		balancer.Address = address
	}
	return balancer
}

func readAgent(file *inifile.File) Agent {
	agent := Agent{
		Envelope:       file.RequiredAddrPort(sectionAgent, "envelope"),
		Announce:       file.RequiredAddrPort(sectionAgent, "announce"),
		Certificate:    file.String(sectionAgent, "certificate", ""),
		CertificateKey: file.String(sectionAgent, "certificate_key", ""),
	}
	if agent.Envelope.IsValid() && !agent.Envelope.Addr().Is4() {
		file.Reject(sectionAgent, "envelope", agent.Envelope.String(), "an IPv4 address and a port")
	}
	if agent.Announce.IsValid() && !agent.Announce.Addr().IsLoopback() {
		file.Reject(sectionAgent, "announce", agent.Announce.String(), "a loopback address and a port")
	}
	if (agent.Certificate == "") != (agent.CertificateKey == "") {
		file.Reject(sectionAgent, "certificate", agent.Certificate, "certificate and certificate_key together, or neither for a self-signed certificate")
	}
	return agent
}

func readControl(file *inifile.File) Control {
	control := Control{ID: file.Int(sectionControl, "id", 0, 1, maxControlID)}
	if control.ID == 0 {
		file.Reject(sectionControl, "id", "", "a whole number from 1 that no control instance has used before")
	}
	for _, item := range file.List(sectionControl, "members") {
		member, ok := parseMember(item)
		if !ok {
			file.Reject(sectionControl, "members", item, "id@ip:port entries, separated by commas")
			continue
		}
		control.Members = append(control.Members, member)
	}
	return control
}
