package exchange

import (
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/rendezvous"
	"sassafrasturn.example/internal/wire"
)

// balancersPerAgent is the number of balancer records that an agent receives.
const balancersPerAgent = 8

// filter selects the records that an agent needs.
type filter struct {
	store        *Store
	subscription *wire.Subscription
	balancers    map[string]bool
}

func newFilter(store *Store, subscription *wire.Subscription) *filter {
	f := &filter{store: store, subscription: subscription}
	f.selectBalancers()
	return f
}

// selectBalancers selects balancers by rendezvous hashing, so that all peers of
// an agent that have the same records send it the same balancers.
func (f *filter) selectBalancers() {
	var names []string
	for _, record := range f.store.List(wire.Record_KIND_BALANCER) {
		names = append(names, record.Key)
	}
	f.balancers = make(map[string]bool, balancersPerAgent)
	for _, name := range rendezvous.Rank(f.subscription.Instance, names, balancersPerAgent) {
		f.balancers[name] = true
	}
}

func (f *filter) matches(record *wire.Record) bool {
	switch record.Kind {
	case wire.Record_KIND_SERVICE:
		return record.Key == f.subscription.Service
	case wire.Record_KIND_ENDPOINT:
		return record.Key == f.subscription.Instance || record.Scope != "" && record.Scope == f.subscription.Service
	case wire.Record_KIND_BALANCER:
		return f.balancers[record.Key]
	case wire.Record_KIND_VERDICT:
		return f.isSubscriberSuspected(record)
	default:
		return true
	}
}

// isSubscriberSuspected reports whether a verdict record lists the subscriber
// as a suspect.
func (f *filter) isSubscriberSuspected(record *wire.Record) bool {
	verdict := new(wire.Verdict)
	if proto.Unmarshal(record.Value, verdict) != nil {
		return false
	}
	for _, suspicion := range verdict.Suspicions {
		if suspicion.Member == f.subscription.Instance {
			return true
		}
	}
	return false
}

// list returns the current records that the subscriber needs, without verdicts,
// which are sent only when they change.
func (f *filter) list() []*wire.Record {
	f.selectBalancers()
	kinds := []wire.Record_Kind{wire.Record_KIND_ENDPOINT, wire.Record_KIND_BALANCER, wire.Record_KIND_ZONE}
	records := f.store.List(kinds...)
	if document := f.store.Get(wire.Record_KIND_SERVICE, f.subscription.Service); document != nil {
		records = append(records, document)
	}
	wanted := records[:0]
	for _, record := range records {
		if f.matches(record) {
			wanted = append(wanted, record)
		}
	}
	return wanted
}
