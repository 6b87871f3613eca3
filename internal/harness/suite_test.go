package harness_test

import (
	"net/http"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/harness"
	"sassafrasturn.example/internal/measure"
)

var binaries harness.Binaries

func TestProcesses(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "real processes")
}

var _ = BeforeSuite(func() {
	folder, err := os.MkdirTemp("", "sassafrasturn-bin-")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, folder)
	binaries, err = harness.Build("../..", folder)
	Expect(err).NotTo(HaveOccurred())
})

// twoServices is a small version of the users' deployment: three zones and two services.
func twoServices() harness.Plan {
	return harness.Plan{
		Controls:  3,
		Balancers: 3,
		Zones:     []string{"a", "b", "c"},
		Services: []harness.ServicePlan{
			{Name: "order-desk", Port: 8443, Endpoints: 2, Extra: "\n[requests]\nstreaming = GET /board, GET /drawings/*\n"},
			{Name: "drawings", Port: 8444, Endpoints: 2, Extra: "\n[requests]\nstreaming = GET /board, GET /drawings/*\n"},
		},
	}
}

func startCluster(plan harness.Plan) *harness.Cluster {
	cluster, err := harness.Start(binaries, GinkgoT().TempDir(), plan)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(cluster.Close)
	return cluster
}

const requestTimeout = 60 * time.Second

func newClient() *http.Client {
	client, connections := measure.NewClient(requestTimeout)
	DeferCleanup(connections.Close)
	return client
}
