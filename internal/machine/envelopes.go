package machine

import (
	"net/netip"

	"sassafrasturn.example/internal/envelope"
	"sassafrasturn.example/internal/token"
)

// Envelopes is one end of the datagram path between balancers and agents.
type Envelopes struct {
	Sealer *envelope.Sealer
	// Codec reads and writes the connection IDs of the payloads.
	Codec *token.Codec
	Conn  Socket
}

// OpenEnvelopes opens the envelope socket at the address, with the instance's keys.
func (i *Instance) OpenEnvelopes(address netip.AddrPort) (*Envelopes, error) {
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
	return &Envelopes{Sealer: sealer, Codec: codec, Conn: conn}, nil
}
