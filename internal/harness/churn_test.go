package harness_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/harness"
	"sassafrasturn.example/internal/measure"
)

var _ = Describe("the path from callers to endpoints", func() {
	It("serves a request of each service at its own endpoints", func() {
		cluster := startCluster(twoServices())
		for _, service := range []string{"order-desk", "drawings"} {
			response, err := newClient().Get(cluster.URL(service, "/name"))
			Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(response.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(body)).To(HavePrefix(service + "-endpoint-"))
		}
	})

	It("breaks no flow while balancers are killed and restarted", func() {
		const (
			flows        = 40
			drawingBytes = 2 << 20
			killInterval = 300 * time.Millisecond
			count        = 60
		)
		cluster := startCluster(twoServices())
		drawing := cluster.URL("drawings", fmt.Sprintf("/drawings/%d?pace=40ms", drawingBytes))
		events := cluster.URL("order-desk", fmt.Sprintf("/board?every=100ms&count=%d", count))
		ctx := context.Background()
		var failures sync.Map
		var wg sync.WaitGroup
		for i := range flows {
			client := newClient()
			wg.Go(func() { recordFailure(&failures, "download", i, measure.Download(ctx, client, drawing, drawingBytes)) })
			board := newClient()
			wg.Go(func() { recordFailure(&failures, "board", i, measure.ReadEventStream(ctx, board, events, count)) })
		}
		done := make(chan struct{})
		go func() { wg.Wait(); close(done) }()
		kills := churn(cluster, killInterval, done)
		Expect(kills).To(BeNumerically(">=", 10))
		failures.Range(func(name, err any) bool {
			Expect(err).NotTo(HaveOccurred(), name.(string))
			return true
		})
	})
})

func recordFailure(failures *sync.Map, kind string, i int, err error) {
	if err != nil {
		failures.Store(fmt.Sprintf("%s %d", kind, i), err)
	}
}

// churn kills and restarts the balancers in turn until done is closed. It returns the
// number of kills.
func churn(cluster *harness.Cluster, interval time.Duration, done <-chan struct{}) int {
	for kills := 0; ; kills++ {
		select {
		case <-done:
			return kills
		case <-time.After(interval):
		}
		process := cluster.Process(harness.BalancerName(kills % 3))
		Expect(process.Kill()).To(Succeed())
		Expect(process.Start()).To(Succeed())
	}
}
