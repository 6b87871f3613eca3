package machine

import (
	"cmp"
	"context"
	"encoding/binary"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"
	"sassafrasturn.example/internal/link"
	"sassafrasturn.example/internal/pause"
	"sassafrasturn.example/internal/settings"
	"sassafrasturn.example/internal/wire"
	"sassafrasturn.example/internal/zone"
)

const (
	// leaseRequestTimeout is the time limit for the answer to a lease request.
	leaseRequestTimeout = time.Second
	// randomPeerCount is the number of random instances, in addition to a configured
	// peer, from which an instance requests the lease. Through them, the lease also
	// reaches instances that are cut off from control.
	randomPeerCount = 2
	// nextPeerDelay is the delay before the next instance replaces one that returned
	// no lease.
	nextPeerDelay = 100 * time.Millisecond
	// agentRequestInterval is the interval between an agent's lease requests. It is
	// longer than zone.RequestInterval because agents do not forward under the lease
	// and are the most numerous role.
	agentRequestInterval = 2 * time.Second
	// randomPeerPeriod is how long an instance keeps the same random peer.
	randomPeerPeriod = 30 * time.Second

	leaseKey = "control"
	// maxLeaseDuration limits the duration of every received lease.
	maxLeaseDuration = 10 * time.Second
)

// startLeaseUpdates starts to keep the instance's zone lease and zone records up to
// date, until ctx ends.
func (i *Instance) startLeaseUpdates(ctx context.Context) {
	stop := i.Store.Watch(i.applyRecords)
	context.AfterFunc(ctx, stop)
	i.applyRecords(i.Store.List(wire.Record_KIND_ZONE, wire.Record_KIND_LEASE))
	go i.requestFromConfiguredPeers(ctx)
	count := randomPeerCount
	if i.isAgent() {
		count = 1
	}
	for range count {
		go i.requestFromRandomPeers(ctx)
	}
}

func (i *Instance) isAgent() bool {
	return i.Settings.Role == settings.RoleAgent
}

// skipsConfiguredPeers reports whether this instance requests the lease from random
// peers only, to keep load off the configured peers, which are usually control
// instances. Agents do so once they know another instance: they are the most numerous
// role and do not forward under the lease, so a balancer's copy suffices.
func (i *Instance) skipsConfiguredPeers() bool {
	return i.isAgent() && i.pickRandomPeer() != ""
}

// zoneRecords contains all zone records and their digest.
type zoneRecords struct {
	records []*wire.Record
	digest  uint64
}

// refreshZones updates the cache of zone records from the store.
func (i *Instance) refreshZones() {
	i.zonesMu.Lock()
	defer i.zonesMu.Unlock()
	records := i.Store.List(wire.Record_KIND_ZONE)
	i.zones.Store(&zoneRecords{records: records, digest: zonesDigest(records)})
}

// cachedZones returns the zone records as of the last change. They are cached because
// lease requests are much more frequent than zone changes.
func (i *Instance) cachedZones() *zoneRecords {
	if cached := i.zones.Load(); cached != nil {
		return cached
	}
	return new(zoneRecords)
}

// applyRecords applies changed zone records and, on a control instance, the lease
// record that its own leader has published. Leases are not spread by record exchange,
// because a record does not show how long it stayed in a buffer.
func (i *Instance) applyRecords(records []*wire.Record) {
	now := time.Now()
	if slices.ContainsFunc(records, func(record *wire.Record) bool { return record.Kind == wire.Record_KIND_ZONE }) {
		i.refreshZones()
	}
	for _, record := range records {
		switch record.Kind {
		case wire.Record_KIND_ZONE:
			if i.RoleSetsAppliedIndex {
				i.Lease.SetKnownIndex(record.Major)
			} else {
				i.Lease.SetAppliedIndex(record.Major)
			}
		case wire.Record_KIND_LEASE:
			lease := new(wire.Lease)
			if i.isControl() && record.Key == leaseKey && proto.Unmarshal(record.Value, lease) == nil {
				i.Lease.UpdateLease(now, leaseFromWire(record.Major, lease))
			}
		}
	}
}

func (i *Instance) isControl() bool {
	return i.Settings.Role == settings.RoleControl || i.Settings.Role == settings.RoleAll
}

func leaseFromWire(term uint64, lease *wire.Lease) zone.Lease {
	duration := time.Duration(lease.DurationMs) * time.Millisecond
	return zone.Lease{Term: term, ZoneIndex: lease.ZoneIndex, Duration: min(duration, maxLeaseDuration)}
}

// requestFromConfiguredPeers requests the lease from one configured peer for as long as
// that peer returns one, then from the next. The order is random, so that the requests
// of all instances are spread over the control instances.
func (i *Instance) requestFromConfiguredPeers(ctx context.Context) {
	peers := slices.DeleteFunc(slices.Clone(i.Settings.Cluster.Peers), func(peer netip.AddrPort) bool { return peer == i.Settings.Link.Address() })
	rand.Shuffle(len(peers), func(a, b int) { peers[a], peers[b] = peers[b], peers[a] })
	shouldContinue := func(answer *wire.LeaseResponse) bool { return answer.Lease != nil && !i.skipsConfiguredPeers() }
	for n := 0; len(peers) > 0 && ctx.Err() == nil; n++ {
		if i.skipsConfiguredPeers() {
			pause.For(ctx, randomPeerPeriod)
			continue
		}
		i.requestWhile(ctx, peers[n%len(peers)].String(), shouldContinue)
		pause.For(ctx, nextPeerDelay)
	}
}

// requestFromRandomPeers requests the lease from one random instance after another.
func (i *Instance) requestFromRandomPeers(ctx context.Context) {
	for ctx.Err() == nil {
		if address := i.pickRandomPeer(); address != "" {
			periodCtx, cancel := context.WithTimeout(ctx, randomPeerPeriod)
			i.requestWhile(periodCtx, address, func(*wire.LeaseResponse) bool { return true })
			cancel()
		}
		pause.For(ctx, nextPeerDelay)
	}
}

// pickRandomPeer returns the link address of a random balancer or agent, or "".
func (i *Instance) pickRandomPeer() string {
	own := i.Settings.Link.Address().String()
	records := i.Store.List(wire.Record_KIND_BALANCER, wire.Record_KIND_ENDPOINT)
	for range min(len(records), 4) {
		if address := linkAddress(records[rand.IntN(len(records))]); address != "" && address != own {
			return address
		}
	}
	return ""
}

func linkAddress(record *wire.Record) string {
	member, ok := wire.MemberOf(record)
	if !ok || member.IsRemoved {
		return ""
	}
	return member.Link
}

// requestWhile requests the lease from the instance at address at regular intervals,
// until a request fails, shouldContinue returns false, or ctx ends.
func (i *Instance) requestWhile(ctx context.Context, address string, shouldContinue func(*wire.LeaseResponse) bool) {
	session, err := i.Dialer.Dial(ctx, address)
	if err != nil {
		return
	}
	defer session.Close()
	for ctx.Err() == nil {
		answer, err := i.requestLease(ctx, session)
		if err != nil || !shouldContinue(answer) {
			return
		}
		i.waitForNextRequest(ctx)
	}
}

// waitForNextRequest waits for the request interval, or until the lease expires if that
// is earlier: a request sent at that moment shows without delay whether the peer is
// still reachable.
func (i *Instance) waitForNextRequest(ctx context.Context) {
	wait := zone.RequestInterval
	if i.isAgent() {
		wait = agentRequestInterval
	}
	if until, ok := i.Lease.FreshUntil(); ok {
		if left := time.Until(until); left > 0 {
			wait = min(wait, left+time.Millisecond)
		}
	}
	pause.For(ctx, wait)
}

func (i *Instance) requestLease(ctx context.Context, session *yamux.Session) (*wire.LeaseResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, leaseRequestTimeout)
	defer cancel()
	request := &wire.LeaseRequest{ZonesDigest: i.cachedZones().digest}
	sentAt := time.Now()
	response, err := link.CallOn(ctx, session, &wire.Request{Body: &wire.Request_Lease{Lease: request}})
	if err != nil {
		return nil, err
	}
	answer := response.GetLease()
	if answer == nil {
		return nil, Error.New("the peer's response contains no lease answer")
	}
	i.applyAnswer(sentAt, time.Now(), answer)
	return answer, nil
}

// applyAnswer applies the answer to a lease request sent at sentAt. It merges the zone
// records before it updates the lease, so that the store contains the zone changes to
// which the lease refers.
func (i *Instance) applyAnswer(sentAt, now time.Time, answer *wire.LeaseResponse) {
	zones := slices.DeleteFunc(answer.Zones, func(r *wire.Record) bool { return r.Kind != wire.Record_KIND_ZONE })
	i.Store.Merge(zones)
	i.Lease.RecordAnswer(sentAt, now, newestIndex(zones))
	if answer.Lease != nil {
		age := time.Duration(answer.AgeMs) * time.Millisecond
		i.Lease.UpdateLease(sentAt.Add(-age), leaseFromWire(answer.Term, answer.Lease))
	}
}

// serveLease answers a peer's lease request with the lease of this instance, if it is
// valid, and with the zone records, if they differ from the peer's.
func (i *Instance) serveLease(request *wire.LeaseRequest, stream net.Conn) {
	answer := new(wire.LeaseResponse)
	if lease, age, ok := i.Lease.ValidLease(time.Now()); ok {
		answer.Lease = &wire.Lease{ZoneIndex: lease.ZoneIndex, DurationMs: uint32(lease.Duration.Milliseconds())}
		answer.Term = lease.Term
		// Rounded up, so that the lease never appears more recent than it is.
		answer.AgeMs = uint32(age.Milliseconds()) + 1
	}
	if zones := i.cachedZones(); zones.digest != request.ZonesDigest {
		answer.Zones = zones.records
	}
	i.respond(stream, &wire.Response{Body: &wire.Response_Lease{Lease: answer}})
}

func newestIndex(records []*wire.Record) uint64 {
	var newest uint64
	for _, record := range records {
		newest = max(newest, record.Major)
	}
	return newest
}

// zonesDigest returns a hash over the keys and versions of zone records, by which peers
// find out whether their sets differ.
func zonesDigest(records []*wire.Record) uint64 {
	sorted := slices.SortedFunc(slices.Values(records), func(a, b *wire.Record) int { return cmp.Compare(a.Key, b.Key) })
	hash := fnv.New64a()
	for _, record := range sorted {
		hash.Write([]byte(record.Key))
		hash.Write(binary.BigEndian.AppendUint64([]byte{0}, record.Major))
	}
	return hash.Sum64()
}
