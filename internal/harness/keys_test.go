package harness_test

import (
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/harness"
)

// rotations returns how often an instance has loaded a changed key file.
func rotations(cluster *harness.Cluster, instance string) int {
	text, err := os.ReadFile(cluster.Process(instance).LogPath())
	Expect(err).NotTo(HaveOccurred())
	return strings.Count(string(text), "keys rotated")
}

var _ = Describe("a key rotation", func() {
	It("breaks no flow and refuses no new flow", func() {
		const (
			events  = 200
			newEach = 5
		)
		plan := twoServices()
		cluster := startCluster(plan)
		var instances []string
		for i := range plan.Balancers {
			instances = append(instances, harness.BalancerName(i))
		}
		for i := range plan.Services[0].Endpoints {
			instances = append(instances, harness.AgentName("order-desk", i))
		}
		var boards []*board
		for range 10 {
			boards = append(boards, openBoard(cluster, events))
		}
		for step, change := range []func() error{
			func() error { return cluster.AddKey(2) },
			func() error { return cluster.SetCurrentKey(1, 2) },
		} {
			Expect(change()).To(Succeed())
			for _, instance := range instances {
				Eventually(rotations).WithArguments(cluster, instance).WithTimeout(5*time.Second).Should(Equal(step+1), instance)
			}
			for range newEach {
				response, err := newClient().Get(cluster.URL("order-desk", "/name"))
				Expect(err).NotTo(HaveOccurred())
				response.Body.Close()
			}
		}
		for _, b := range boards {
			Eventually(b.done, requestTimeout).Should(BeClosed())
			Expect(b.err).NotTo(HaveOccurred())
			Expect(b.events).To(Equal(events))
		}
	})
})
