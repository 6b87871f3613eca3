package harness_test

import (
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/caller"
	"sassafrasturn.example/internal/harness"
)

// BenchmarkRepliesUnderKills downloads 100 drawings while one balancer is killed and
// restarted at each interval. It reports the number of complete downloads.
func BenchmarkRepliesUnderKills(b *testing.B) {
	g := NewWithT(b)
	built, err := harness.Build("../..", b.TempDir())
	g.Expect(err).NotTo(HaveOccurred())
	for _, interval := range []time.Duration{150 * time.Millisecond, 300 * time.Millisecond} {
		b.Run(interval.String(), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(float64(downloadsUnderKills(b, built, interval)), "whole-of-100")
			}
		})
	}
}

func downloadsUnderKills(b *testing.B, built harness.Binaries, interval time.Duration) int {
	const callers, requests, bytes = 10, 10, 512 << 10
	g := NewWithT(b)
	cluster, err := harness.Start(built, b.TempDir(), twoServices())
	g.Expect(err).NotTo(HaveOccurred())
	defer cluster.Close()
	var completed atomic.Int32
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			transport := caller.New(&tls.Config{InsecureSkipVerify: true})
			defer transport.Close()
			client := &http.Client{Transport: transport, Timeout: requestTimeout}
			for range requests {
				if size, err := downloadSize(client, cluster.URL("drawings", fmt.Sprintf("/drawings/%d?pace=10ms", bytes))); err == nil && size == bytes {
					completed.Add(1)
				}
			}
		})
	}
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	for kills := 0; ; kills++ {
		select {
		case <-done:
			return int(completed.Load())
		case <-time.After(interval):
		}
		process := cluster.Process(harness.BalancerName(kills % 3))
		g.Expect(process.Kill()).To(Succeed())
		g.Expect(process.Start()).To(Succeed())
	}
}

func downloadSize(client *http.Client, url string) (int, error) {
	response, err := client.Get(url)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return len(body), err
}
