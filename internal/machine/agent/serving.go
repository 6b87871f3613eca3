package agent

import (
	"context"
	"crypto/tls"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"sassafrasturn.example/internal/admit"
	"sassafrasturn.example/internal/contract"
	"sassafrasturn.example/internal/token"
)

const (
	// initialPacketBytes leaves room for the envelope within an MTU of 1500.
	initialPacketBytes = 1200
	maxIdleTimeout     = 30 * time.Second

	purposeReset    = "stateless reset"
	resetKeyBytes   = 32
	purposeAddress  = "address token"
	addressKeyBytes = 32
)

// serving is an endpoint that is being served: the QUIC transport and the HTTP
// server in front of it.
type serving struct {
	agent     *Agent
	number    uint32
	zone      uint8
	hunt      *hunt
	packets   *packetConn
	transport *quic.Transport
	listener  *quic.EarlyListener
	server    *http3.Server
	proxy     *proxy
	limiter   *admit.Limiter
	doc       atomic.Pointer[contract.Document]
}

func newServing(a *Agent, number uint32, zone uint8, doc *contract.Document, announced *Announcement) (*serving, error) {
	certificate, err := a.certificate()
	if err != nil {
		return nil, err
	}
	s := &serving{agent: a, number: number, zone: zone, packets: newPacketConn(a, number)}
	s.doc.Store(doc)
	s.limiter = admit.NewLimiter(doc.Slots, doc.Queue)
	s.hunt = newHunt(s.admitFlow)
	if s.proxy, err = newProxy(s, announced); err != nil {
		return nil, err
	}
	if err := s.listen(certificate); err != nil {
		return nil, err
	}
	s.server = &http3.Server{Handler: s.proxy}
	go s.server.ServeListener(s.listener)
	return s, nil
}

func (s *serving) listen(certificate tls.Certificate) error {
	resetKey, err := s.agent.instance.Keys.Derive(s.agent.instance.Keys.Current(), purposeReset, resetKeyBytes)
	if err != nil {
		return err
	}
	addressKey, err := s.agent.instance.Keys.Derive(s.agent.instance.Keys.Current(), purposeAddress, addressKeyBytes)
	if err != nil {
		return err
	}
	reset := quic.StatelessResetKey(resetKey)
	address := quic.TokenGeneratorKey(addressKey)
	s.transport = &quic.Transport{
		Conn:                  s.packets,
		ConnectionIDGenerator: newIDGenerator(s),
		StatelessResetKey:     &reset,
		TokenGeneratorKey:     &address,
	}
	tlsConfig := http3.ConfigureTLSConfig(&tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
	})
	s.listener, err = s.transport.ListenEarly(tlsConfig, &quic.Config{
		InitialPacketSize: initialPacketBytes,
		MaxIdleTimeout:    maxIdleTimeout,
		// A replayed 0-RTT packet must never run a request.
		Allow0RTT: false,
	})
	return Error.Wrap(err)
}

// admitFlow decides a new flow.
func (s *serving) admitFlow(bool) huntChoice {
	s.agent.mu.Lock()
	isDraining := s.agent.isDraining
	s.agent.mu.Unlock()
	if isDraining {
		return huntHandOn
	}
	s.agent.metrics.accepted.Inc()
	s.agent.instance.Decisions.Decision("accept").Str("service", s.doc.Load().Service).Msg("new flow accepted")
	return huntAccept
}

func (s *serving) update(doc *contract.Document) {
	s.doc.Store(doc)
	s.limiter.SetLimits(doc.Slots, doc.Queue)
}

// drain sends GOAWAY and waits for the requests in flight.
func (s *serving) drain(ctx context.Context) {
	if err := s.server.Shutdown(ctx); err != nil {
		s.agent.instance.Log.Warn().Err(err).Msg("drain ended with requests in flight")
	}
}

func (s *serving) close() {
	s.server.Close()
	s.listener.Close()
	s.transport.Close()
	s.packets.Close()
}

// idGenerator issues connection IDs that carry the route to this agent.
type idGenerator struct {
	codec   *token.Codec
	route   token.Route
	counter atomic.Uint32
}

func newIDGenerator(s *serving) *idGenerator {
	return &idGenerator{
		codec: s.agent.codec,
		route: token.Route{
			Agent:       s.agent.instance.Settings.Agent.Envelope,
			Zone:        s.zone,
			Service:     s.number,
			Incarnation: uint16(s.agent.instance.Incarnation),
		},
	}
}

// GenerateConnectionID returns a fresh connection ID.
func (g *idGenerator) GenerateConnectionID() (quic.ConnectionID, error) {
	r := g.route
	r.Counter = g.counter.Add(1)
	id := g.codec.Encode(r)
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen returns the length of every connection ID.
func (g *idGenerator) ConnectionIDLen() int {
	return token.ConnectionIDBytes
}

var (
	_ quic.ConnectionIDGenerator = (*idGenerator)(nil)
	_ http.Handler               = (*proxy)(nil)
)
