package harness_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/harness"
	"sassafrasturn.example/internal/measure"
)

// drainTimeout is the time after which a draining endpoint must not receive new work.
const drainTimeout = 2 * time.Second

var _ = Describe("draining endpoints and graceful shutdown", func() {
	It("breaks no flow when agents and a balancer stop under load", func() {
		cluster := startCluster(twoServices())
		load := startLoad(cluster)
		time.Sleep(time.Second)
		stopping := map[string]*harness.Process{}
		for _, name := range []string{harness.AgentName("order-desk", 0), harness.AgentName("drawings", 0), harness.BalancerName(0)} {
			stopping[name] = cluster.Process(name)
			Expect(stopping[name].Signal(syscall.SIGTERM)).To(Succeed())
		}
		time.Sleep(drainTimeout)
		before := acceptedFlows(cluster, "order-desk")
		expectViews(cluster, []int{1, 2}, "order-desk", 1)
		time.Sleep(time.Second)
		Expect(acceptedFlows(cluster, "order-desk")).To(Equal(before), "new flows at the draining agent after 2 s")
		load.finish()
		load.expectEachOrderOnce()
		for name, process := range stopping {
			Eventually(process.Done(), 20*time.Second).Should(BeClosed(), name)
			Expect(process.ExitCode()).To(Equal(0), name)
		}
		control := cluster.Process(harness.ControlName(0))
		Expect(control.Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(control.Done(), 10*time.Second).Should(BeClosed())
		Expect(control.ExitCode()).To(Equal(0))
	})

	It("breaks no flow when a process of role all stops, and exits with code 0", func() {
		folder := GinkgoT().TempDir()
		address := fmt.Sprintf("127.%d.%d.9", 100+os.Getpid()>>8%100, os.Getpid()%256)
		text, err := os.ReadFile("../../examples/local.ini")
		Expect(err).NotTo(HaveOccurred())
		keys, err := os.ReadFile("../../examples/local.keys")
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(filepath.Join(folder, "local.keys"), keys, 0o600)).To(Succeed())
		settings := filepath.Join(folder, "local.ini")
		Expect(os.WriteFile(settings, bytes.ReplaceAll(text, []byte("127.0.0.1"), []byte(address)), 0o600)).To(Succeed())
		command := exec.Command(binaries.Daemon, "run", "--settings", settings)
		command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		Expect(command.Start()).To(Succeed())
		DeferCleanup(func() { _ = command.Process.Kill() })
		client := newClient()
		var response *http.Response
		Eventually(func() (err error) {
			response, err = client.Get("https://" + address + ":8443/clock")
			return err
		}, 20*time.Second).Should(Succeed())
		Expect(command.Process.Signal(syscall.SIGTERM)).To(Succeed())
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Count(body, []byte("\n"))).To(Equal(30))
		Expect(command.Wait()).To(Succeed())
	})

	It("answers a drain request once the endpoint has no work, and serves the restarted endpoint as a cold one", func() {
		cluster := startCluster(twoServices())
		load := startLoad(cluster)
		time.Sleep(time.Second)
		endpoint := cluster.Process(harness.EndpointName("order-desk", 0))
		response, err := http.Post(strings.Replace(cluster.EndpointURL("order-desk", 0, "/v1/drain"), ":8000/", ":7600/", 1), "", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusNoContent))
		Expect(response.Body.Close()).To(Succeed())
		Expect(endpoint.Kill()).To(Succeed())
		load.finish()
		expectViews(cluster, []int{0, 1, 2}, "order-desk", 1)
		Expect(endpoint.Start()).To(Succeed())
		expectViews(cluster, []int{0, 1, 2}, "order-desk", 2)
	})
})

// acceptedFlows returns the number of flows that the first agent of a service has accepted.
func acceptedFlows(cluster *harness.Cluster, service string) float64 {
	count, err := cluster.AgentMetric(service, 0, "sassafrasturn_agent_accepted_flows_total")
	Expect(err).NotTo(HaveOccurred())
	return count
}

// expectViews checks how many endpoints of a service accept new flows according to the
// views of the balancers.
func expectViews(cluster *harness.Cluster, balancers []int, service string, endpoints int) {
	for _, i := range balancers {
		Eventually(func() (string, error) { return cluster.BalancerStatus(i) }, drainTimeout).
			Should(MatchRegexp(`service %s: .* %d endpoints take new flows`, service, endpoints))
	}
}

// load consists of long downloads, event streams, orders on existing connections and
// requests on new connections.
type load struct {
	failures sync.Map
	long     sync.WaitGroup
	short    sync.WaitGroup
	stop     context.CancelFunc
	orders   sync.Map
	cluster  *harness.Cluster
}

func startLoad(cluster *harness.Cluster) *load {
	const (
		flows        = 20
		drawingBytes = 2 << 20
		events       = 60
	)
	drawing := cluster.URL("drawings", fmt.Sprintf("/drawings/%d?pace=40ms", drawingBytes))
	eventsURL := cluster.URL("order-desk", fmt.Sprintf("/board?every=100ms&count=%d", events))
	ctx, stop := context.WithCancel(context.Background())
	l := &load{stop: stop, cluster: cluster}
	DeferCleanup(stop)
	for i := range flows {
		drawings, board, orders := newClient(), newClient(), newClient()
		l.long.Go(func() {
			recordFailure(&l.failures, "download", i, measure.Download(ctx, drawings, drawing, drawingBytes))
		})
		l.long.Go(func() { recordFailure(&l.failures, "board", i, measure.ReadEventStream(ctx, board, eventsURL, events)) })
		l.short.Go(func() { recordFailure(&l.failures, "orders", i, l.order(ctx, orders, i)) })
	}
	l.short.Go(func() { recordFailure(&l.failures, "new flows", 0, openFlows(ctx, cluster)) })
	return l
}

func (l *load) order(ctx context.Context, client *http.Client, caller int) error {
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("%d-%d", caller, i)
		l.orders.Store(id, true)
		response, err := client.Post(l.cluster.URL("order-desk", "/orders?work=10ms&id="+id), "", nil)
		if err == nil {
			err = expectBody(response, "order "+id)
		}
		if err != nil {
			return fmt.Errorf("order %s: %w", id, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

func openFlows(ctx context.Context, cluster *harness.Cluster) error {
	for ctx.Err() == nil {
		client := newClient()
		response, err := client.Get(cluster.URL("order-desk", "/name"))
		if err == nil {
			err = expectBody(response, "order-desk-endpoint-")
		}
		if err != nil {
			return err
		}
		client.CloseIdleConnections()
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

func expectBody(response *http.Response, prefix string) error {
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK || !strings.HasPrefix(string(body), prefix) {
		return fmt.Errorf("response %s: %s", response.Status, body)
	}
	return nil
}

// finish waits for the long flows, stops the short ones and fails the spec if any flow or
// request has failed.
func (l *load) finish() {
	l.long.Wait()
	l.stop()
	l.short.Wait()
	l.failures.Range(func(name, err any) bool {
		Expect(err).NotTo(HaveOccurred(), name.(string))
		return true
	})
}

// expectEachOrderOnce checks that the endpoints have run every sent order exactly once.
func (l *load) expectEachOrderOnce() {
	runs := map[string]int{}
	for i := range 2 {
		response, err := http.Get(l.cluster.EndpointURL("order-desk", i, "/runs"))
		Expect(err).NotTo(HaveOccurred())
		lines := bufio.NewScanner(response.Body)
		for lines.Scan() {
			var id string
			var count int
			_, err := fmt.Sscan(lines.Text(), &id, &count)
			Expect(err).NotTo(HaveOccurred())
			runs[id] += count
		}
		Expect(response.Body.Close()).To(Succeed())
	}
	l.orders.Range(func(id, _ any) bool {
		Expect(runs).To(HaveKeyWithValue(id, 1))
		return true
	})
}
