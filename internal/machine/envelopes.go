package machine

import (
	"net/netip"

	"sassafrasturn.example/internal/envelope"
	"sassafrasturn.example/internal/token"
)

// EnvelopeSocket is one end of the datagram path between balancers and agents.
type EnvelopeSocket struct {
	Sealer *envelope.Sealer
	// Codec reads and writes the connection IDs of the payloads.
	Codec *token.Codec
	Conn  Socket
}

// OpenEnvelopeSocket opens the envelope socket at the address, with the instance's keys.
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
