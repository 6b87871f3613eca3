package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/link"
	"sassafrasturn.example/internal/wire"
)

// awaitAll must list the targets that fail, limit the number of concurrent polls, and
// poll slow targets concurrently rather than one after the other.
func TestAwaitAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const count, slow = 100, 2 * time.Second
		var targets []target
		for i := range count {
			targets = append(targets, target{instance: fmt.Sprintf("instance-%02d", i), link: "link"})
		}
		var running, peak atomic.Int32
		started := time.Now()
		unconfirmed := awaitAll(targets, func(t target) error {
			peak.Store(max(peak.Load(), running.Add(1)))
			defer running.Add(-1)
			time.Sleep(slow)
			if t.instance == "instance-07" || t.instance == "instance-42" {
				return errors.New("no response")
			}
			return nil
		})
		g.Expect(unconfirmed).To(Equal([]string{"instance-07 (link): no response", "instance-42 (link): no response"}))
		g.Expect(peak.Load()).To(BeEquivalentTo(maxConcurrentPolls))
		g.Expect(time.Since(started)).To(BeNumerically("<=", (count/maxConcurrentPolls+1)*slow))
	})
}

// statusServer always has a newer change of another document, and a change of the
// requested document whose index grows by one with each request.
type statusServer struct{ applied atomic.Uint64 }

func (s *statusServer) ServeStream(_ context.Context, request *wire.Request, stream net.Conn) {
	status := &wire.StatusResponse{AppliedIndex: 100}
	if query := request.GetStatus(); query.Kind == wire.Record_KIND_SERVICE && query.Key == "one" {
		status.RecordIndex = s.applied.Add(1)
	}
	// Writing fails only if the client has disconnected.
	_ = link.WriteMessage(stream, &wire.Response{Body: &wire.Response_Status{Status: status}})
}

func TestAwaitChangePollsUntilTheRecordIsApplied(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	handler := new(statusServer)
	go (&link.Server{Handler: handler}).Serve(t.Context(), listener)
	address := listener.Addr().String()
	g.Expect(awaitChange(t.Context(), &link.Dialer{}, address, change{wire.Record_KIND_SERVICE, "one", 3})).To(Succeed())
	g.Expect(handler.applied.Load()).To(BeEquivalentTo(3))

	ended, cancel := context.WithCancel(t.Context())
	cancel()
	g.Expect(awaitChange(ended, &link.Dialer{}, address, change{wire.Record_KIND_SERVICE, "one", 1})).NotTo(Succeed())
}

// Agents of other services do not store the service's document and must not be targets.
func TestTargets(t *testing.T) {
	encode := func(kind wire.Record_Kind, value proto.Message) *wire.Record {
		data, err := proto.Marshal(value)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		return &wire.Record{Kind: kind, Value: data}
	}
	balancer := encode(wire.Record_KIND_BALANCER, &wire.Balancer{Link: "b"})
	agent := encode(wire.Record_KIND_ENDPOINT, &wire.Endpoint{Link: "a", Service: "one"})
	removed := encode(wire.Record_KIND_ENDPOINT, &wire.Endpoint{Link: "a", Service: "one", State: wire.Endpoint_STATE_GONE})
	for _, test := range []struct {
		name   string
		record *wire.Record
		kind   wire.Record_Kind
		key    string
		want   string
	}{
		{"balancer", balancer, wire.Record_KIND_SERVICE, "one", "b"},
		{"own service", agent, wire.Record_KIND_SERVICE, "one", "a"},
		{"other service", agent, wire.Record_KIND_SERVICE, "two", ""},
		{"zone", agent, wire.Record_KIND_ZONE, "z", "a"},
		{"removed", removed, wire.Record_KIND_SERVICE, "one", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			NewWithT(t).Expect(targetOf(test.record, change{kind: test.kind, name: test.key}).link).To(Equal(test.want))
		})
	}
}

func TestParseControl(t *testing.T) {
	for _, test := range []struct {
		args []string
		want string
	}{
		{[]string{"list"}, "list:{}"},
		{[]string{"add", "4@10.0.0.4:7400"}, `add:{id:4 address:"10.0.0.4:7400"}`},
		{[]string{"replace", "2", "4@10.0.0.4:7400"}, `add:{id:4 address:"10.0.0.4:7400" replaces:2}`},
		{[]string{"remove", "3"}, "remove:{id:3}"},
		{[]string{}, ""},
		{[]string{"add"}, ""},
		{[]string{"add", "0@10.0.0.4:7400"}, ""},
		{[]string{"add", "4"}, ""},
		{[]string{"replace", "x", "4@10.0.0.4:7400"}, ""},
		{[]string{"remove", "-1"}, ""},
	} {
		t.Run(fmt.Sprint(test.args), func(t *testing.T) {
			g := NewWithT(t)
			request, err := parseControl(test.args)
			g.Expect(err != nil).To(Equal(test.want == ""))
			if err == nil {
				// The text form varies its white space on purpose.
				g.Expect(normalize(request.String())).To(Equal(normalize(test.want)))
			}
		})
	}
}

func normalize(text string) string {
	return strings.Join(strings.Fields(text), " ")
}
