package agent

import (
	"bufio"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/quic-go/quic-go/http3"

	"sassafrasturn.example/caller"
)

// TestRetryStormThroughCallerAndAgent sends requests with package caller over
// HTTP/3 to an agent whose endpoint always fails, and counts the requests that
// reach the endpoint. The naive version, with three attempts by the caller and
// three by the agent each time, multiplies the load.
func TestRetryStormThroughCallerAndAgent(t *testing.T) {
	const offered, naiveTries = 200, 3
	fail := func(conn net.Conn) {
		defer conn.Close()
		// The error does not matter: the connection fails either way.
		_, _ = http.ReadRequest(bufio.NewReader(conn))
	}
	g := NewWithT(t)
	address, arrived := startRawEndpoint(t, fail)
	f := newProxyFixture(t, "a", address)
	url := serveHTTP3(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The limiter would stop sending to a failing endpoint; this test covers only the retry budgets.
		f.serving.limiter.Reset()
		f.ServeHTTP(w, r)
	}))
	transport := caller.New(&tls.Config{InsecureSkipVerify: true})
	defer transport.Close()
	client := &http.Client{Transport: transport}
	for range offered {
		answer, err := client.Get(url)
		g.Expect(err).NotTo(HaveOccurred())
		answer.Body.Close()
		g.Expect(answer.StatusCode).To(Equal(http.StatusBadGateway))
	}

	naiveAddress, naiveArrived := startRawEndpoint(t, fail)
	naive := &http.Client{Transport: &http.Transport{}}
	agentTries := func() (isAnswered bool) {
		for i := 0; i < naiveTries && !isAnswered; i++ {
			answer, err := naive.Get("http://" + naiveAddress)
			if isAnswered = err == nil; isAnswered {
				answer.Body.Close()
			}
		}
		return isAnswered
	}
	for range offered {
		for i := 0; i < naiveTries && !agentTries(); i++ {
		}
	}
	t.Logf("%d requests offered: %d reached the endpoint, %d with naive retries", offered, arrived(), naiveArrived())
	g.Expect(arrived()).To(BeNumerically(">", offered))
	g.Expect(arrived()).To(BeNumerically("<=", offered*6/5))
	g.Expect(naiveArrived()).To(BeNumerically(">", offered*6/5))
}

// serveHTTP3 serves a handler on loopback and returns its URL.
func serveHTTP3(t *testing.T, handler http.Handler) string {
	g := NewWithT(t)
	certificates := httptest.NewTLSServer(nil)
	t.Cleanup(certificates.Close)
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	g.Expect(err).NotTo(HaveOccurred())
	server := &http3.Server{Handler: handler, TLSConfig: http3.ConfigureTLSConfig(&tls.Config{Certificates: certificates.TLS.Certificates})}
	go server.Serve(conn)
	t.Cleanup(func() { server.Close(); conn.Close() })
	return "https://" + conn.LocalAddr().String() + "/item"
}
