package agent

import (
	"context"
	"crypto/tls"
	"errors"
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
	// initialPacketBytes leaves room for the envelope within an MTU of 1500 bytes.
	initialPacketBytes = 1200
	maxIdleTimeout     = 30 * time.Second

	purposeReset    = "stateless reset"
	resetKeyBytes   = 32
	purposeAddress  = "address token"
	addressKeyBytes = 32
)

// serving is the service of one endpoint: the QUIC transport and the HTTP/3
// server in front of it.
type serving struct {
	agent     *Agent
	number    uint32
	zone      uint8
	decider   *flowDecider
	gate      *admit.FlowGate
	packets   *packetConn
	transport *quic.Transport
	listener  *quic.EarlyListener
	server    *http3.Server
	proxy     *proxy
	limiter   *admit.Limiter
	doc       atomic.Pointer[contract.Document]
	work      inFlight
	// slots is the number that the endpoint has announced; 0 means the document's.
	slots atomic.Int64
	// acceptsFlows is false while the endpoint is draining, has failed or is not
	// allowed by the document.
	acceptsFlows atomic.Bool
	// closeGrace is how long a drain waits for callers to close their
	// connections after the last request.
	closeGrace time.Duration
}

func newServing(a *Agent, number uint32, zone uint8, doc *contract.Document, announced *Announcement) (*serving, error) {
	certificate, err := a.certificate()
	if err != nil {
		return nil, err
	}
	s := &serving{agent: a, number: number, zone: zone, packets: newPacketConn(a, number), gate: admit.NewFlowGate(), closeGrace: closeGrace}
	s.doc.Store(doc)
	s.slots.Store(int64(announced.Slots))
	s.limiter = admit.NewLimiter(s.ramp(doc), doc.Queue, func(bool) { a.signalChange() })
	s.decider = newFlowDecider(s.admitFlow)
	if s.proxy, err = newProxy(s, announced); err != nil {
		return nil, err
	}
	if err := s.listen(certificate); err != nil {
		return nil, err
	}
	s.server = &http3.Server{
		Handler:        s.work.countRequests(s.proxy),
		ConnContext:    s.work.countConnection,
		MaxHeaderBytes: maxRequestHeaderBytes,
	}
	s.acceptsFlows.Store(true)
	go s.accept()
	return s, nil
}

// ramp returns the document's ramp with at most the slots that the endpoint has announced.
func (s *serving) ramp(doc *contract.Document) admit.Ramp {
	slots := doc.Slots
	if announced := int(s.slots.Load()); announced > 0 {
		slots = min(slots, announced)
	}
	return admit.Ramp{Start: doc.RampStart, Answers: doc.RampAnswers, Slots: slots}
}

// accept serves connections until the listener is closed. The HTTP server's
// own loop would not serve connections whose handshake completes after the
// drain has begun.
func (s *serving) accept() {
	for {
		conn, err := s.listener.Accept(context.Background())
		if err != nil {
			return
		}
		s.work.endHandshake(conn.Context())
		go s.serveConnection(conn)
	}
}

func (s *serving) serveConnection(conn *quic.Conn) {
	// The error only describes how the connection was closed.
	err := s.server.ServeQUICConn(conn)
	if errors.Is(err, http.ErrServerClosed) {
		conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "draining")
	}
}

func (s *serving) listen(certificate tls.Certificate) error {
	// The oldest epoch is kept during a key rotation, so that the next incarnation derives the same keys.
	epoch := s.agent.instance.Keys.Oldest()
	resetKey, err := s.agent.instance.Keys.Derive(epoch, purposeReset, resetKeyBytes)
	if err != nil {
		return err
	}
	addressKey, err := s.agent.instance.Keys.Derive(epoch, purposeAddress, addressKeyBytes)
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
		ConnContext:           s.work.countFlow,
	}
	tlsConfig := http3.ConfigureTLSConfig(&tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
	})
	s.listener, err = s.transport.ListenEarly(tlsConfig, &quic.Config{
		InitialPacketSize: initialPacketBytes,
		MaxIdleTimeout:    maxIdleTimeout,
		// With 0-RTT, a replayed packet could run a request again.
		Allow0RTT: false,
	})
	return Error.Wrap(err)
}

// admitFlow decides by the agent's own counts whether to accept, forward or
// refuse a new flow.
func (s *serving) admitFlow(offer flowOffer) admit.FlowDecision {
	doc := s.doc.Load()
	load := admit.FlowLoad{
		Flows:              int(s.work.flows.Load()),
		MaxFlows:           doc.Connections,
		Work:               s.limiter.Load(),
		FullSlots:          doc.Slots,
		IsServing:          s.acceptsFlows.Load(),
		IsLast:             offer.isLast,
		FirstCandidateLoad: offer.firstCandidateLoad,
	}
	decision := s.gate.Decide(time.Now(), load)
	s.logFlow(decision, load)
	return decision
}

var flowChoiceNames = map[flowChoice]string{flowRefuse: "refuse", flowAccept: "accept", flowForward: "hand-on"}

func (s *serving) logFlow(decision admit.FlowDecision, load admit.FlowLoad) {
	if decision.Choice == flowAccept {
		s.agent.metrics.accepted.Inc()
	}
	s.agent.instance.Decisions.Decision(flowChoiceNames[decision.Choice]).
		Str("service", s.doc.Load().Service).
		Str("reason", string(decision.Reason)).
		Int("flows", load.Flows).
		Int("connections", load.MaxFlows).
		Int("slots_taken", load.Work.Taken).
		Int("slots_waiting", load.Work.Waiting).
		Int("slots_now", load.Work.Slots).
		Float64("load", decision.Load).
		Float64("carried", load.FirstCandidateLoad).
		Msg("new flow decided")
}

func (s *serving) update(doc *contract.Document) {
	s.doc.Store(doc)
	s.limiter.SetLimits(s.ramp(doc), doc.Queue)
}

// suspend stops accepting flows and refuses requests, because the endpoint has failed.
func (s *serving) suspend() {
	s.acceptsFlows.Store(false)
	s.limiter.Suspend()
}

// resume serves the endpoint again as a cold one.
func (s *serving) resume(slots int) {
	s.slots.Store(int64(slots))
	doc := s.doc.Load()
	s.limiter.Reset()
	s.limiter.SetLimits(s.ramp(doc), doc.Queue)
	s.acceptsFlows.Store(true)
}

func (s *serving) close() {
	s.server.Close()
	s.listener.Close()
	s.transport.Close()
	s.packets.Close()
}

// idGenerator generates connection IDs that encode the route to this agent.
type idGenerator struct {
	codec *token.Codec
	route token.Route
	// counter is shared by all endpoints of the agent, so that no connection ID
	// is used twice in a process.
	counter *atomic.Uint32
}

func newIDGenerator(s *serving) *idGenerator {
	return &idGenerator{
		codec:   s.agent.codec,
		counter: &s.agent.connectionIDs,
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
