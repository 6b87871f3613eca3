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

// detectionBound is how long after its death an endpoint may be offered flows.
const detectionBound = 5 * time.Second

// convergenceTime is enough for balancers to have probed every endpoint.
const convergenceTime = 3 * time.Second

// logCount counts the lines of a process's log that contain all parts.
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

// requestOnNewFlow sends one request over a new flow.
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
		return harness.Error.New("status %s", response.Status)
	}
	return err
}

var _ = Describe("membership", func() {
	It("gives no new flow to an endpoint whose agent was killed", func() {
		cluster := startCluster(twoServices())
		Expect(cluster.Process(harness.AgentName("order-desk", 0)).Kill()).To(Succeed())
		time.Sleep(detectionBound)
		const flows = 20
		for range flows {
			// Without hunting for another candidate: the first one answers.
			Expect(requestOnNewFlow(cluster, "order-desk", time.Second)).To(Succeed())
		}
	})

	It("declares no live endpoint dead after a watcher was frozen", func() {
		cluster := startCluster(twoServices())
		watcher := cluster.Process(harness.BalancerName(0))
		// It has to watch before it is frozen.
		time.Sleep(convergenceTime)
		Expect(watcher.Signal(syscall.SIGSTOP)).To(Succeed())
		time.Sleep(10 * time.Second)
		Expect(watcher.Signal(syscall.SIGCONT)).To(Succeed())
		time.Sleep(detectionBound)
		for i := range 3 {
			Expect(logCount(cluster.Process(harness.BalancerName(i)), `"decision":"member"`, "agent-", `"down":true`)).To(BeZero())
		}
		// The frozen one itself was found out and came back.
		Expect(logCount(cluster.Process(harness.BalancerName(1)), `"decision":"member"`, "balancer-0", `"down":true`)).NotTo(BeZero())
		Expect(logCount(cluster.Process(harness.BalancerName(1)), `"decision":"member"`, "balancer-0", `"down":false`)).NotTo(BeZero())
	})

	It("tells a new balancer the state when all control instances are gone", func() {
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
