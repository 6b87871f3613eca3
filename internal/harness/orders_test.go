package harness_test

import (
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"sassafrasturn.example/caller"
	"sassafrasturn.example/internal/harness"
)

const (
	ordersSeed        = 4
	orderClients      = 12
	ordersByClient    = 8
	orderTimeout      = 8 * time.Second
	orderService      = "order-desk"
	orderEndpoints    = 3
	orderKillInterval = 300 * time.Millisecond
	blindTries        = 6
	blindTryTimeout   = time.Second
	orderWorkMinimum  = 50
	orderWorkMaximum  = 250
)

// orderResult is the result of one order at its caller.
type orderResult struct {
	ran  caller.Ran
	text string
}

// orderCounts counts the results at the callers, compared with the runs at the endpoints.
type orderCounts struct {
	answered, unknown, notRun, duplicates, falseRefusals, wrong int
}

func (c orderCounts) String() string {
	return fmt.Sprintf("%d answered, %d unknown, %d not run, %d duplicates, %d false refusals, %d wrong answers",
		c.answered, c.unknown, c.notRun, c.duplicates, c.falseRefusals, c.wrong)
}

var _ = Describe("orders", func() {
	It("run at most once and are never falsely reported as not run while agents and balancers are killed", func() {
		cluster := startCluster(ordersPlan(keyedOrders))
		counts := runOrders(cluster)
		GinkgoWriter.Printf("seed %d, %d orders: %s\n", ordersSeed, orderClients*ordersByClient, counts)
		Expect(counts.answered).To(BeNumerically(">", 0))
		Expect([]int{counts.duplicates, counts.falseRefusals, counts.wrong}).To(Equal([]int{0, 0, 0}))
	})

	// The endpoint's agent is killed while the order runs at the endpoint, before the
	// answer. A blind retry then runs the order twice.
	It("run at most once when their agent is killed before the answer", func() {
		naive := runOrdersOfKilledAgents(startCluster(ordersPlan("")), sendWithBlindRetries)
		product := runOrdersOfKilledAgents(startCluster(ordersPlan(keyedOrders)), sendByCaller)
		GinkgoWriter.Printf("%d orders: product %s; blind retry without keys %s\n", orderEndpoints, product, naive)
		Expect(naive.duplicates).To(Equal(orderEndpoints))
		Expect(product.unknown).To(Equal(orderEndpoints))
		Expect([]int{product.duplicates, product.falseRefusals, product.wrong}).To(Equal([]int{0, 0, 0}))
	})
})

var _ = Describe("an order of a stock client", func() {
	It("is answered with its one run through every agent, also after its connection was lost", func() {
		const copies = 8
		cluster := startCluster(ordersPlan(keyedOrders))
		url := cluster.URL(orderService, "/orders?id=stock&work=500ms")
		first := newStockTransport()
		refused, _, err := postOrder(first, url, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(refused.StatusCode).To(Equal(http.StatusPreconditionRequired))
		key := refused.Header.Get(caller.KeyHeader)

		// A stock client uses the key on the connection on which it received the key.
		lost := make(chan error)
		go func() {
			_, _, err := postOrder(first, url, key)
			lost <- err
		}()
		endpoint := endpointOf(cluster, "stock")
		Expect(first.Close()).To(Succeed())
		Expect(<-lost).To(HaveOccurred())
		for range copies {
			transport := newStockTransport()
			response, text, err := postOrder(transport, url, key)
			Expect(err).NotTo(HaveOccurred())
			Expect(transport.Close()).To(Succeed())
			Expect(response.StatusCode).To(Equal(http.StatusOK))
			Expect(text).To(Equal(fmt.Sprintf("order stock by %s\n", harness.EndpointName(orderService, endpoint))))
		}
		Expect(readRuns(cluster)).To(Equal(map[string]int{"stock": 1}))
	})

	It("is refused when its header is over 64 KiB, and the next one is served", func() {
		cluster := startCluster(ordersPlan(""))
		transport := newStockTransport()
		defer transport.Close()
		request, err := http.NewRequest(http.MethodPost, cluster.URL(orderService, "/orders?id=large"), nil)
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Large", strings.Repeat("x", 65<<10))
		response, err := transport.RoundTrip(request)
		if err == nil {
			response.Body.Close()
			Expect(response.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		}
		_, text, err := postOrder(transport, cluster.URL(orderService, "/orders?id=next"), "")
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(HavePrefix("order next by "))
		Expect(readRuns(cluster)).To(Equal(map[string]int{"next": 1}))
	})
})

func newStockTransport() *http3.Transport {
	return &http3.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
}

// postOrder sends an order with a body and, if it is not empty, a key. It returns the
// response and its complete body.
func postOrder(transport http.RoundTripper, url, key string) (*http.Response, string, error) {
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(strings.Repeat("order ", 20_000)))
	if err != nil {
		return nil, "", err
	}
	if key != "" {
		request.Header.Set(caller.KeyHeader, key)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

// keyedOrders is the line of the service document that lists orders as non-idempotent, so
// that they need a key.
const keyedOrders = "non_idempotent = POST /orders\n"

// runOrdersOfKilledAgents sends one order after the other. It kills the agent of each
// order while the order runs.
func runOrdersOfKilledAgents(cluster *harness.Cluster, newSender func() (sendOrder, func())) orderCounts {
	results := make(map[string]orderResult)
	for i := range orderEndpoints {
		id := fmt.Sprint("killed-", i)
		answered := make(chan orderResult)
		send, stop := newSender()
		go func() {
			defer GinkgoRecover()
			answered <- send(cluster.URL(orderService, "/orders?id="+id+"&work=700ms"))
		}()
		process := cluster.Process(harness.AgentName(orderService, endpointOf(cluster, id)))
		Expect(process.Kill()).To(Succeed())
		Expect(process.Start()).To(Succeed())
		results[id] = <-answered
		stop()
	}
	return countOrders(results, readRuns(cluster))
}

// endpointOf waits until an order runs and returns the index of its endpoint.
func endpointOf(cluster *harness.Cluster, id string) (found int) {
	Eventually(func(g Gomega) {
		for i := range orderEndpoints {
			if runsAt(cluster, i)[id] > 0 {
				found = i
				return
			}
		}
		g.Expect(id).To(BeEmpty(), "the order runs at no endpoint")
	}, orderTimeout, "20ms").Should(Succeed())
	return found
}

func ordersPlan(requests string) harness.Plan {
	return harness.Plan{
		Controls:  1,
		Balancers: 3,
		Zones:     []string{"a", "b", "c"},
		Services:  []harness.ServicePlan{{Name: orderService, Port: 8443, Endpoints: orderEndpoints, Extra: "\n[requests]\n" + requests}},
	}
}

type sendOrder func(url string) orderResult

// runOrders sends the orders of all clients with package caller while agents and balancers
// are killed.
func runOrders(cluster *harness.Cluster) orderCounts {
	results := make(map[string]orderResult)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for client := range orderClients {
		random := rand.New(rand.NewPCG(ordersSeed, uint64(client)))
		wg.Go(func() {
			defer GinkgoRecover()
			send, stop := sendByCaller()
			defer stop()
			for i := range ordersByClient {
				id := fmt.Sprintf("%d-%d", client, i)
				result := send(cluster.URL(orderService, fmt.Sprintf("/orders?id=%s&work=%dms", id, orderWorkMinimum+random.IntN(orderWorkMaximum-orderWorkMinimum))))
				mu.Lock()
				results[id] = result
				mu.Unlock()
			}
		})
	}
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	killAgentsAndBalancers(cluster, done)
	return countOrders(results, readRuns(cluster))
}

// killAgentsAndBalancers kills and restarts random agents and balancers, one after the
// other, until done is closed.
func killAgentsAndBalancers(cluster *harness.Cluster, done <-chan struct{}) {
	random := rand.New(rand.NewPCG(ordersSeed, orderClients))
	for {
		select {
		case <-done:
			return
		case <-time.After(orderKillInterval):
		}
		name := harness.BalancerName(random.IntN(3))
		if random.IntN(2) == 0 {
			name = harness.AgentName(orderService, random.IntN(orderEndpoints))
		}
		process := cluster.Process(name)
		Expect(process.Kill()).To(Succeed())
		Expect(process.Start()).To(Succeed())
	}
}

// sendByCaller returns a sender that uses package caller, and a function that closes it.
func sendByCaller() (sendOrder, func()) {
	transport := caller.New(&tls.Config{InsecureSkipVerify: true})
	client := &http.Client{Transport: transport, Timeout: orderTimeout}
	send := func(url string) orderResult {
		response, err := client.Post(url, "text/plain", strings.NewReader("order"))
		var failed *caller.Error
		if errors.As(err, &failed) {
			return orderResult{ran: failed.Ran}
		}
		if err != nil {
			return orderResult{ran: caller.RanUnknown}
		}
		defer response.Body.Close()
		if refusal, ok := caller.RefusalOf(response); ok {
			return orderResult{ran: refusal.Ran}
		}
		text, err := io.ReadAll(response.Body)
		if err != nil || response.StatusCode != http.StatusOK {
			return orderResult{ran: caller.RanUnknown}
		}
		return orderResult{ran: caller.RanYes, text: string(text)}
	}
	return send, func() { transport.Close() }
}

// sendWithBlindRetries returns the sender of a naive caller, which retries an order until
// it is answered, and a function that closes it.
func sendWithBlindRetries() (sendOrder, func()) {
	transport := &http3.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}, QUICConfig: &quic.Config{MaxIdleTimeout: time.Second}}
	client := &http.Client{Transport: transport, Timeout: blindTryTimeout}
	send := func(url string) orderResult {
		for range blindTries {
			response, err := client.Post(url, "text/plain", strings.NewReader("order"))
			if err != nil {
				continue
			}
			text, err := io.ReadAll(response.Body)
			response.Body.Close()
			if err == nil && response.StatusCode == http.StatusOK {
				return orderResult{ran: caller.RanYes, text: string(text)}
			}
		}
		return orderResult{ran: caller.RanUnknown}
	}
	return send, func() { transport.Close() }
}

// readRuns returns the number of runs of each order, read directly from all endpoints.
func readRuns(cluster *harness.Cluster) map[string]int {
	runs := make(map[string]int)
	for i := range orderEndpoints {
		for id, count := range runsAt(cluster, i) {
			runs[id] += count
		}
	}
	return runs
}

func runsAt(cluster *harness.Cluster, endpoint int) map[string]int {
	response, err := http.Get(cluster.EndpointURL(orderService, endpoint, "/runs"))
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	runs := make(map[string]int)
	for line := range strings.Lines(string(text)) {
		id, count, _ := strings.Cut(strings.TrimSpace(line), " ")
		runs[id], err = strconv.Atoi(count)
		Expect(err).NotTo(HaveOccurred())
	}
	return runs
}

func countOrders(results map[string]orderResult, runs map[string]int) orderCounts {
	var counts orderCounts
	for id, result := range results {
		switch {
		case result.ran == caller.RanYes && result.text != "":
			counts.answered++
			if runs[id] == 0 || !strings.HasPrefix(result.text, "order "+id+" by ") {
				counts.wrong++
			}
		case result.ran == caller.RanNo:
			counts.notRun++
			if runs[id] != 0 {
				counts.falseRefusals++
			}
		default:
			counts.unknown++
		}
		if runs[id] > 1 {
			counts.duplicates++
		}
	}
	return counts
}
