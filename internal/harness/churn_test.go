package harness_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/harness"
	"sassafrasturn.example/internal/standin/endpoint"
)

var _ = Describe("the whole path", func() {
	It("serves a request of each service at its own endpoints", func() {
		cluster := startCluster(twoServices())
		for _, service := range []string{"order-desk", "drawings"} {
			answer, err := newClient().Get(cluster.URL(service, "/name"))
			Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(answer.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(body)).To(HavePrefix(service + "-endpoint-"))
		}
	})

	It("breaks no flow while balancers are killed and replaced", func() {
		const (
			flows         = 40
			drawingBytes  = 2 << 20
			killInterval  = 300 * time.Millisecond
			events        = 60
			eventInterval = "100ms"
		)
		cluster := startCluster(twoServices())
		var broken sync.Map
		var wait sync.WaitGroup
		for i := range flows {
			client := newClient()
			wait.Go(func() { note(&broken, "download", i, download(client, cluster, drawingBytes)) })
			board := newClient()
			wait.Go(func() { note(&broken, "board", i, followBoard(board, cluster, events, eventInterval)) })
		}
		done := make(chan struct{})
		go func() { wait.Wait(); close(done) }()
		kills := churn(cluster, killInterval, done)
		Expect(kills).To(BeNumerically(">=", 10))
		broken.Range(func(name, err any) bool {
			Expect(err).NotTo(HaveOccurred(), name.(string))
			return true
		})
	})
})

func note(broken *sync.Map, kind string, i int, err error) {
	if err != nil {
		broken.Store(fmt.Sprintf("%s %d", kind, i), err)
	}
}

// churn kills and replaces the balancers in turn until done.
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

func download(client *http.Client, cluster *harness.Cluster, size int) error {
	answer, err := client.Get(cluster.URL("drawings", fmt.Sprintf("/drawings/%d?pace=40ms", size)))
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return fmt.Errorf("after %d bytes: %w", len(body), err)
	}
	if !bytes.Equal(body, endpoint.Drawing(0, size)) {
		return fmt.Errorf("%d bytes differ from the drawing", len(body))
	}
	return nil
}

func followBoard(client *http.Client, cluster *harness.Cluster, count int, every string) error {
	answer, err := client.Get(cluster.URL("order-desk", fmt.Sprintf("/board?every=%s&count=%d", every, count)))
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	lines := bufio.NewScanner(answer.Body)
	next := 0
	for lines.Scan() {
		text, isEvent := strings.CutPrefix(lines.Text(), "data: ")
		if !isEvent {
			continue
		}
		if text != fmt.Sprint(next) {
			return fmt.Errorf("event %s came where %d was due", text, next)
		}
		next++
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("after %d events: %w", next, err)
	}
	if next != count {
		return fmt.Errorf("the stream ended after %d of %d events", next, count)
	}
	return nil
}
