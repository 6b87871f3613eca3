package machine

import (
	"net/netip"

	"sassafrasturn.example/internal/envelope"
	"sassafrasturn.example/internal/token"
)

// EnvelopeSocket is an instance's socket for the envelopes that balancers and agents
// exchange, with the keys to seal and open them.
type EnvelopeSocket struct {
	Sealer *envelope.Sealer
	// Codec decodes and encodes the connection IDs of the payloads.
	Codec *token.Codec
	Conn  Socket
}

// OpenEnvelopeSocket opens the envelope socket at address and sets it up with the
// instance's keys.
func (i *Instance) OpenEnvelopeSocket(address netip.AddrPort) (*EnvelopeSocket, error) {
	sealer, err := envelope.NewSealer(i.Keys)
	if err != nil {
		return nil, err
	}
	codec, err := token.NewCodec(i.Keys)
	if err != nil {
		return nil, err
	}
	conn, err := i.ListenUDP(address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &EnvelopeSocket{Sealer: sealer, Codec: codec, Conn: conn}, nil
}
