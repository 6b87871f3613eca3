package harness_test

import (
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/harness"
)

// detectionBound is how long after a failure an endpoint may still be offered flows.
const detectionBound = 5 * time.Second

// convergenceTime is long enough for the balancers to probe every endpoint.
const convergenceTime = 3 * time.Second

// logCount returns the number of lines in a process's log that contain all parts.
func logCount(process *harness.Process, parts ...string) int {
	text, err := os.ReadFile(process.LogPath())
	Expect(err).NotTo(HaveOccurred())
	count := 0
	for line := range strings.Lines(string(text)) {
		hasAll := true
		for _, part := range parts {
			hasAll = hasAll && strings.Contains(line, part)
		}
		if hasAll {
			count++
		}
	}
	return count
}

// requestOnNewFlow sends one request on a new flow.
func requestOnNewFlow(cluster *harness.Cluster, service string, timeout time.Duration) error {
	client := newClient()
	client.Timeout = timeout
	response, err := client.Get(cluster.URL(service, "/name"))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		return harness.Error.New("response status %s", response.Status)
	}
	return err
}

var _ = Describe("membership", func() {
	It("sends no new flow to an endpoint whose agent was killed", func() {
		cluster := startCluster(twoServices())
		Expect(cluster.Process(harness.AgentName("order-desk", 0)).Kill()).To(Succeed())
		time.Sleep(detectionBound)
		const flows = 20
		for range flows {
			// The first candidate must answer, without forwarding to the next candidate.
			Expect(requestOnNewFlow(cluster, "order-desk", time.Second)).To(Succeed())
		}
	})

	It("declares no live endpoint failed after a watcher was frozen", func() {
		cluster := startCluster(twoServices())
		watcher := cluster.Process(harness.BalancerName(0))
		// The balancer must be probing endpoints before it is frozen.
		time.Sleep(convergenceTime)
		Expect(watcher.Signal(syscall.SIGSTOP)).To(Succeed())
		time.Sleep(10 * time.Second)
		Expect(watcher.Signal(syscall.SIGCONT)).To(Succeed())
		time.Sleep(detectionBound)
		for i := range 3 {
			Expect(logCount(cluster.Process(harness.BalancerName(i)), `"decision":"member"`, "agent-", `"down":true`)).To(BeZero())
		}
		// The frozen balancer itself was detected as down, and as up again afterwards.
		Expect(logCount(cluster.Process(harness.BalancerName(1)), `"decision":"member"`, "balancer-0", `"down":true`)).NotTo(BeZero())
		Expect(logCount(cluster.Process(harness.BalancerName(1)), `"decision":"member"`, "balancer-0", `"down":false`)).NotTo(BeZero())
	})

	It("sends the state to a new balancer when all control instances are down", func() {
		plan := twoServices()
		plan.BalancersArePeers = true
		cluster := startCluster(plan)
		Expect(cluster.Process(harness.BalancerName(0)).Kill()).To(Succeed())
		for i := range plan.Controls {
			Expect(cluster.Process(harness.ControlName(i)).Kill()).To(Succeed())
		}
		Expect(cluster.Process(harness.BalancerName(0)).Start()).To(Succeed())
		Expect(harness.Eventually(detectionBound, cluster.CheckServing)).To(Succeed())
		Expect(requestOnNewFlow(cluster, "drawings", detectionBound)).To(Succeed())
	})
})
