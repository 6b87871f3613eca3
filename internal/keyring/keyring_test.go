package keyring_test

import (
	"bytes"
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/envelope"
	"sassafrasturn.example/internal/keyring"
	"sassafrasturn.example/internal/token"
	"sassafrasturn.example/internal/wire"
)

func keysOf(g Gomega, current keyring.Epoch, epochs ...keyring.Epoch) *keyring.Keyring {
	secrets := make(map[keyring.Epoch][]byte)
	for _, epoch := range epochs {
		secrets[epoch] = bytes.Repeat([]byte{byte(epoch)}, keyring.SecretBytes)
	}
	keys, err := keyring.New(current, secrets)
	g.Expect(err).NotTo(HaveOccurred())
	return keys
}

// instance is the keyring of an instance, with the codec and the sealer that use it.
type instance struct {
	keys   *keyring.Keyring
	codec  *token.Codec
	sealer *envelope.Sealer
}

func newInstance(g Gomega, keys *keyring.Keyring) *instance {
	codec, err := token.NewCodec(keys)
	g.Expect(err).NotTo(HaveOccurred())
	sealer, err := envelope.NewSealer(keys)
	g.Expect(err).NotTo(HaveOccurred())
	return &instance{keys: keys, codec: codec, sealer: sealer}
}

// accepts reports whether i accepts the connection IDs and envelopes of other.
func (i *instance) accepts(g Gomega, other *instance) bool {
	sealed, err := other.sealer.Seal(nil, &wire.Envelope{Service: 3})
	g.Expect(err).NotTo(HaveOccurred())
	id := other.codec.Encode(token.Route{Agent: netip.MustParseAddrPort("10.0.0.1:1")})
	_, ok := i.codec.Decode(id[:])
	return ok && i.sealer.Open(sealed, new(wire.Envelope)) == nil
}

// rotations returns the successive states of the key file in a correct rotation.
func rotations(g Gomega) []*keyring.Keyring {
	return []*keyring.Keyring{keysOf(g, 1, 1), keysOf(g, 1, 1, 2), keysOf(g, 2, 1, 2)}
}

func TestRollingRotationKeepsTokensValid(t *testing.T) {
	g := NewWithT(t)
	steps := rotations(g)
	first := newInstance(g, keysOf(g, 1, 1))
	second := newInstance(g, keysOf(g, 1, 1))
	flow := first.codec.Encode(token.Route{Agent: netip.MustParseAddrPort("10.0.0.1:7500"), Service: 5})
	for _, step := range steps[1:] {
		for _, i := range []*instance{first, second} {
			g.Expect(i.keys.Replace(step)).To(BeTrue())
			g.Expect(i.keys.Replace(step)).To(BeFalse())
			g.Expect(first.accepts(g, second) && second.accepts(g, first)).To(BeTrue())
			route, ok := i.codec.Decode(flow[:])
			g.Expect(ok).To(BeTrue(), "the token of an established flow stays valid")
			g.Expect(route.Service).To(Equal(uint32(5)))
		}
	}
	issued := first.codec.Encode(token.Route{Agent: netip.MustParseAddrPort("10.0.0.1:7500")})
	g.Expect(issued[0]).To(Equal(byte(2)), "new tokens are issued under the current epoch")
	g.Expect(first.keys.Replace(keysOf(g, 2, 2))).To(BeTrue())
	_, ok := first.codec.Decode(flow[:])
	g.Expect(ok).To(BeFalse(), "tokens of a removed epoch are rejected")
}

// TestRotationInOneStepBreaksFlows shows why a rotation needs two valid epochs: if
// the old secret is replaced at once, the tokens of established flows are rejected.
func TestRotationInOneStepBreaksFlows(t *testing.T) {
	g := NewWithT(t)
	i := newInstance(g, keysOf(g, 1, 1))
	flow := i.codec.Encode(token.Route{Agent: netip.MustParseAddrPort("10.0.0.1:7500")})
	i.keys.Replace(keysOf(g, 2, 2))
	_, ok := i.codec.Decode(flow[:])
	g.Expect(ok).To(BeFalse())
}

func TestOldestEpochDuringRotation(t *testing.T) {
	g := NewWithT(t)
	for _, step := range rotations(g) {
		g.Expect(step.Oldest()).To(Equal(keyring.Epoch(1)))
	}
	g.Expect(keysOf(g, 2, 2, 3).Oldest()).To(Equal(keyring.Epoch(2)), "a secret that is not yet current is newer")
	g.Expect(keysOf(g, 0, 255, 0).Oldest()).To(Equal(keyring.Epoch(255)), "epoch numbers wrap around")
}
