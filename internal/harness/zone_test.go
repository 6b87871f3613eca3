package harness_test

import (
	"bufio"
	"crypto/rand"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/harness"
)

const (
	// zoneOutTimeout is the limit that "a few seconds" stands for in the requirements.
	zoneOutTimeout      = 5 * time.Second
	zoneObservationTime = 2 * time.Second
	recoveryTimeout     = 15 * time.Second
)

// threeZones has one endpoint of each service in each zone.
func threeZones() harness.Plan {
	plan := twoServices()
	for i := range plan.Services {
		plan.Services[i].Endpoints = 3
	}
	return plan
}

// receivedEnvelopes returns the number of envelopes that the agents of zone b have received
// from balancers.
func receivedEnvelopes(cluster *harness.Cluster) (total float64) {
	for _, service := range []string{"order-desk", "drawings"} {
		for _, name := range []string{"taken_datagrams", "dropped_datagrams", "handed_on_flows"} {
			value, err := cluster.Metric(harness.AgentName(service, 1), "sassafrasturn_agent_"+name+"_total")
			Expect(err).NotTo(HaveOccurred())
			total += value
		}
	}
	return total
}

// board is an event stream that a caller keeps open.
type board struct {
	endpoint string
	events   int
	err      error
	done     chan struct{}
}

func openBoard(cluster *harness.Cluster, count int) *board {
	response, err := newClient().Get(cluster.URL("order-desk", fmt.Sprintf("/board?every=50ms&count=%d", count)))
	Expect(err).NotTo(HaveOccurred())
	b := &board{endpoint: response.Header.Get("Endpoint"), done: make(chan struct{})}
	go func() {
		defer close(b.done)
		defer response.Body.Close()
		lines := bufio.NewScanner(response.Body)
		for lines.Scan() {
			if strings.HasPrefix(lines.Text(), "data: ") {
				b.events++
			}
		}
		b.err = lines.Err()
	}()
	return b
}

// newFlows opens a flow every 50 ms until done is closed. It returns the errors of those
// that failed.
func newFlows(cluster *harness.Cluster, done <-chan struct{}) (failed map[string]error) {
	failed = make(map[string]error)
	var mu sync.Mutex
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := 0; ; i++ {
		select {
		case <-done:
			return failed
		case <-time.After(50 * time.Millisecond):
		}
		client := newClient()
		wg.Go(func() {
			response, err := client.Get(cluster.URL("order-desk", "/name"))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed[fmt.Sprint("flow ", i)] = err
				return
			}
			response.Body.Close()
		})
	}
}

func setZone(cluster *harness.Cluster, change, zone string) {
	output, err := cluster.Ctl("zone", change, zone)
	Expect(err).NotTo(HaveOccurred(), output)
}

var _ = Describe("a zone", func() {
	It("receives no packet once it is evacuated, not even from a balancer that was frozen meanwhile, and serves again after its return", func() {
		cluster := startCluster(threeZones())
		const events = 300
		var boards []*board
		for range 18 {
			boards = append(boards, openBoard(cluster, events))
		}
		frozen := cluster.Process(harness.BalancerName(2))
		Expect(frozen.Signal(syscall.SIGSTOP)).To(Succeed())
		setZone(cluster, "out", "b")

		done := make(chan struct{})
		finished := make(chan struct{})
		var failed map[string]error
		go func() { defer close(finished); failed = newFlows(cluster, done) }()
		stopFlows := sync.OnceFunc(func() { close(done); <-finished })
		defer stopFlows()
		time.Sleep(zoneOutTimeout)
		before := receivedEnvelopes(cluster)
		time.Sleep(zoneObservationTime)
		Expect(receivedEnvelopes(cluster)).To(Equal(before), "no packet into the zone")
		Expect(frozen.Signal(syscall.SIGCONT)).To(Succeed())
		time.Sleep(zoneObservationTime)
		Expect(receivedEnvelopes(cluster)).To(Equal(before), "no packet from the balancer that was frozen")
		stopFlows()
		Expect(failed).To(BeEmpty(), "new flows must reach the other zones")

		inZone := 0
		for _, b := range boards {
			if b.endpoint == harness.EndpointName("order-desk", 1) {
				inZone++
				continue
			}
			Eventually(b.done, requestTimeout).Should(BeClosed())
			Expect(b.err).NotTo(HaveOccurred(), b.endpoint)
			Expect(b.events).To(Equal(events), b.endpoint)
		}
		Expect(inZone).To(BeNumerically(">", 0), "some flow must have had its endpoint in the zone")

		setZone(cluster, "in", "b")
		Eventually(func() string {
			response, err := newClient().Get(cluster.URL("order-desk", "/name"))
			Expect(err).NotTo(HaveOccurred())
			response.Body.Close()
			return response.Header.Get("Endpoint")
		}, recoveryTimeout).Should(Equal(harness.EndpointName("order-desk", 1)))
	})

	It("is served by the last known state while control is down, but not by a restarted balancer", func() {
		cluster := startCluster(threeZones())
		for i := range threeZones().Controls {
			Expect(cluster.Process(harness.ControlName(i)).Kill()).To(Succeed())
		}
		for i := range 3 {
			Eventually(cluster.Metric).WithArguments(harness.BalancerName(i), "sassafrasturn_balancer_lease_state").
				WithTimeout(recoveryTimeout).Should(Equal(2.0), "static")
			Expect(cluster.HealthStatus(harness.BalancerName(i))).To(Equal(http.StatusOK))
		}
		restarted := cluster.Process(harness.BalancerName(0))
		Expect(restarted.Kill()).To(Succeed())
		Expect(restarted.Start()).To(Succeed())
		Eventually(cluster.HealthStatus).WithArguments(harness.BalancerName(0)).WithTimeout(recoveryTimeout).Should(Equal(http.StatusServiceUnavailable))
		Consistently(cluster.HealthStatus).WithArguments(harness.BalancerName(0)).WithTimeout(zoneObservationTime).Should(Equal(http.StatusServiceUnavailable))
		for range 10 {
			response, err := newClient().Get(cluster.URL("order-desk", "/name"))
			Expect(err).NotTo(HaveOccurred())
			response.Body.Close()
		}
	})
})

var _ = Describe("the UDP listeners", func() {
	It("count and drop invalid datagrams and keep serving", func() {
		cluster := startCluster(twoServices())
		balancer, agent := harness.BalancerName(0), harness.AgentName("order-desk", 0)
		accepted, err := cluster.Metric(agent, "sassafrasturn_agent_taken_datagrams_total")
		Expect(err).NotTo(HaveOccurred())
		for _, target := range []struct{ instance, address, metric string }{
			{balancer, cluster.UDPAddress(balancer, 8443), "sassafrasturn_balancer_dropped_datagrams_total"},
			{balancer, cluster.UDPAddress(balancer, 7500), "sassafrasturn_balancer_dropped_datagrams_total"},
			{agent, cluster.UDPAddress(agent, 7500), "sassafrasturn_agent_dropped_datagrams_total"},
		} {
			before, err := cluster.Metric(target.instance, target.metric)
			Expect(err).NotTo(HaveOccurred())
			sent := sendNoise(target.address)
			Eventually(cluster.Metric).WithArguments(target.instance, target.metric).
				WithTimeout(recoveryTimeout).Should(BeNumerically(">=", before+float64(sent)), target.address)
		}
		Expect(cluster.Metric(agent, "sassafrasturn_agent_taken_datagrams_total")).To(Equal(accepted))
		for _, service := range []string{"order-desk", "drawings"} {
			response, err := newClient().Get(cluster.URL(service, "/name"))
			Expect(err).NotTo(HaveOccurred())
			response.Body.Close()
		}
	})
})

// sendNoise sends random datagrams of various sizes and returns their number. None of
// them can open a flow, because the first byte is that of a QUIC short header.
func sendNoise(address string) (sent int) {
	conn, err := net.Dial("udp", address)
	Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	for _, size := range []int{1, 5, 17, 21, 22, 100, 1200, 1500, 9000, 9001, 30_000, 65_507} {
		noise := make([]byte, size)
		_, err := rand.Read(noise)
		Expect(err).NotTo(HaveOccurred())
		noise[0] = 0x40 | noise[0]&0x3f
		_, err = conn.Write(noise)
		Expect(err).NotTo(HaveOccurred())
		sent++
	}
	return sent
}
