package agent

import (
	"context"
	"net"
	"net/http"
	"time"

	"sassafrasturn.example/internal/link"
	"sassafrasturn.example/internal/once"
	"sassafrasturn.example/internal/token"
	"sassafrasturn.example/internal/wire"
)

const (
	// ownerQueryTimeout limits one query to the owner of a key.
	ownerQueryTimeout = 4 * time.Second
	// ownerWaitLimit is how long an owner may delay its response while the request is running.
	ownerWaitLimit = 2 * time.Second
)

// queryOwner queries the agent that issued a key for the state of the request
// and repeats the query while the request is running. The outcome is unknown if the owner
// cannot be reached or has restarted.
func (p *proxy) queryOwner(ctx context.Context, key token.Key, text string, content once.ContentDigest) once.Result {
	if p.keys.isFromEarlierProcess(key) {
		return once.Result{State: once.StateUnknown}
	}
	request := &wire.Request{Body: &wire.Request_Owner{Owner: &wire.OwnerRequest{Key: []byte(text), Content: content[:]}}}
	for {
		result := p.queryOwnerOnce(ctx, key.Owner.Link, request)
		p.serving.agent.instance.Decisions.Decision("owner").
			Str("owner", key.Owner.Instance).
			Uint8("state", uint8(result.State)).
			Msg("idempotency key owner queried")
		if result.State != once.StateRunning || ctx.Err() != nil {
			return result
		}
	}
}

func (p *proxy) queryOwnerOnce(ctx context.Context, address string, request *wire.Request) once.Result {
	ctx, cancel := context.WithTimeout(ctx, ownerQueryTimeout)
	defer cancel()
	response, err := p.serving.agent.instance.Dialer.Call(ctx, address, request)
	if err != nil || response.Error != "" {
		return once.Result{State: once.StateUnknown}
	}
	return readOwnerResponse(response.GetOwner())
}

// serveOwner answers a query about a key that this agent issued. It returns
// false for requests of other kinds.
func (a *Agent) serveOwner(ctx context.Context, request *wire.Request, stream net.Conn) bool {
	query := request.GetOwner()
	if query == nil {
		return false
	}
	a.mu.Lock()
	s := a.serving
	a.mu.Unlock()
	response := new(wire.OwnerResponse)
	if s != nil {
		response = s.proxy.resolveOwnerQuery(ctx, query)
	}
	if err := link.WriteMessage(stream, &wire.Response{Body: &wire.Response_Owner{Owner: response}}); err != nil {
		a.instance.Log.Debug().Err(err).Msg("cannot send response to idempotency key query")
	}
	return true
}

func (p *proxy) resolveOwnerQuery(ctx context.Context, query *wire.OwnerRequest) *wire.OwnerResponse {
	key, err := p.keys.codec.Parse(string(query.Key))
	if err != nil || !p.keys.owns(key) || len(query.Content) != len(once.ContentDigest{}) {
		return new(wire.OwnerResponse)
	}
	content := once.ContentDigest(query.Content)
	result := p.keys.resolve(key, content)
	ctx, cancel := context.WithTimeout(ctx, ownerWaitLimit)
	defer cancel()
	return newOwnerResponse(p.waitForResult(ctx, key, content, result))
}

var ownerStates = map[once.State]wire.OwnerResponse_State{
	once.StateVoid:     wire.OwnerResponse_STATE_VOID,
	once.StateRunning:  wire.OwnerResponse_STATE_RUNNING,
	once.StateFinished: wire.OwnerResponse_STATE_FINISHED,
	once.StateNotKept:  wire.OwnerResponse_STATE_NOT_KEPT,
	once.StateMismatch: wire.OwnerResponse_STATE_MISMATCH,
}

func newOwnerResponse(result once.Result) *wire.OwnerResponse {
	response := &wire.OwnerResponse{State: ownerStates[result.State]}
	if result.Answer == nil {
		return response
	}
	response.Answer = &wire.Answer{Status: uint32(result.Answer.Status), Body: result.Answer.Body}
	for name, values := range result.Answer.Header {
		for _, value := range values {
			response.Answer.Header = append(response.Answer.Header, &wire.Field{Name: name, Value: value})
		}
	}
	return response
}

// readOwnerResponse maps responses with an unrecognized state to an unknown outcome.
func readOwnerResponse(response *wire.OwnerResponse) once.Result {
	for state, onWire := range ownerStates {
		if onWire == response.GetState() {
			return once.Result{State: state, Answer: readAnswer(response.GetAnswer())}
		}
	}
	return once.Result{State: once.StateUnknown}
}

func readAnswer(message *wire.Answer) *once.Answer {
	if message == nil {
		return nil
	}
	header := make(http.Header)
	for _, field := range message.Header {
		header.Add(field.Name, field.Value)
	}
	return &once.Answer{Status: int(message.Status), Header: header, Body: message.Body}
}
