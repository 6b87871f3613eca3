package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/wire"
)

// route leads the only route to a service and returns its former services.
func (l *singleMember) route(version uint64, service string) []string {
	table := &wire.RoutingTable{Version: version, Routes: []*wire.Route{{
		Address: 1, Port: 1, Services: []*wire.WeightedService{{Service: service, Weight: 1}},
	}}}
	data, err := proto.Marshal(table)
	l.g.Expect(err).NotTo(HaveOccurred())
	command := &wire.Command{Body: &wire.Command_ReplaceRouting{ReplaceRouting: &wire.ReplaceRouting{Version: version, Table: data}}}
	_, err = l.loop.submit(l.t.Context(), func(now time.Duration, done func(*wire.CommandResult, error)) {
		l.loop.replica.propose(now, command, done)
	})
	l.g.Expect(err).NotTo(HaveOccurred())
	synctest.Wait()
	applied := new(wire.RoutingTable)
	l.g.Expect(proto.Unmarshal(l.loop.replica.catalog.Routing().Table, applied)).To(Succeed())
	return applied.Routes[0].Former
}

// A route changes its service every few seconds. Its former services stay in the table while
// flows may be open there, and not much longer.
func TestFormerServicesOutliveTheirFlows(t *testing.T) {
	runSingleMember(t, func(l *singleMember) {
		const interval = 5 * time.Second
		for version := uint64(1); version <= 100; version++ {
			former := l.route(version, fmt.Sprint(version))
			// The members of these tests expect flows to last a minute.
			var open []string
			for earlier := version - 1; earlier > 0 && time.Duration(version-earlier)*interval <= time.Minute; earlier-- {
				open = append(open, fmt.Sprint(earlier))
			}
			l.g.Expect(former).To(ContainElements(open))
			l.g.Expect(len(former)).To(BeNumerically("<=", int(2*time.Minute/interval)+1))
			time.Sleep(interval)
		}
	})
}
