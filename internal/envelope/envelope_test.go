package envelope

import (
	"bytes"
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/keyring"
	"sassafrasturn.example/internal/wire"
)

func newSealer(tb testing.TB, secret byte) *Sealer {
	keys, err := keyring.New(1, map[keyring.Epoch][]byte{1: bytes.Repeat([]byte{secret}, keyring.SecretBytes)})
	if err != nil {
		tb.Fatal(err)
	}
	sealer, err := NewSealer(keys)
	if err != nil {
		tb.Fatal(err)
	}
	return sealer
}

func exampleEnvelope(payload int) *wire.Envelope {
	return &wire.Envelope{
		Kind: wire.Envelope_KIND_FORWARD, Service: 3,
		Caller:  PackAddress(netip.MustParseAddrPort("192.0.2.7:4000")),
		Dialed:  PackAddress(netip.MustParseAddrPort("192.0.2.1:443")),
		Payload: bytes.Repeat([]byte{7}, payload),
	}
}

func TestOpenRejectsForgedEnvelopes(t *testing.T) {
	g := NewWithT(t)
	sealer := newSealer(t, 1)
	sealed, err := sealer.Seal(nil, exampleEnvelope(50))
	g.Expect(err).NotTo(HaveOccurred())
	opened := new(wire.Envelope)
	g.Expect(sealer.Open(sealed, opened)).To(Succeed())
	g.Expect(proto.Equal(opened, exampleEnvelope(50))).To(BeTrue())
	g.Expect(newSealer(t, 2).Open(sealed, opened)).To(MatchError(ErrForged))
	for length := range len(sealed) {
		g.Expect(sealer.Open(sealed[:length], opened)).To(HaveOccurred(), "truncated to %d", length)
	}
	for bit := range len(sealed) * 8 {
		tampered := bytes.Clone(sealed)
		tampered[bit/8] ^= 1 << (bit % 8)
		g.Expect(sealer.Open(tampered, opened)).To(HaveOccurred(), "bit %d", bit)
	}
	_, err = sealer.Seal(nil, exampleEnvelope(MaxBytes))
	g.Expect(err).To(HaveOccurred(), "too large for a UDP datagram")
}

func TestPackAndUnpackAddress(t *testing.T) {
	g := NewWithT(t)
	for _, text := range []string{"10.0.0.1:0", "10.0.0.1:65535", "[2001:db8::1]:443"} {
		address := netip.MustParseAddrPort(text)
		unpacked, ok := UnpackAddress(PackAddress(address))
		g.Expect(ok).To(BeTrue())
		g.Expect(unpacked).To(Equal(address))
	}
	for length := range 25 {
		_, ok := UnpackAddress(make([]byte, length))
		g.Expect(ok).To(Equal(length == 6 || length == 18), "%d bytes", length)
	}
}

func FuzzOpen(f *testing.F) {
	sealer := newSealer(f, 1)
	// The seed must be the same in every worker process of the fuzzer. A counter
	// other than 0 leaves the random prefix of the nonce zero.
	sealer.nonces.counter = 1
	sealed, err := sealer.Seal(nil, exampleEnvelope(50))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(sealed)
	f.Add(sealed[:headerBytes])
	f.Add([]byte{formatVersion, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		opened := new(wire.Envelope)
		if sealer.Open(data, opened) == nil && !bytes.Equal(data, sealed) {
			t.Fatal("opened an envelope that was not sealed")
		}
	})
}

// BenchmarkSeal compares sealing an envelope with only marshalling it.
func BenchmarkSeal(b *testing.B) {
	sealer := newSealer(b, 1)
	message := exampleEnvelope(1200)
	var buffer []byte
	b.Run("marshal", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			buffer, _ = proto.MarshalOptions{}.MarshalAppend(buffer[:0], message)
		}
	})
	b.Run("seal", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			buffer, _ = sealer.Seal(buffer[:0], message)
		}
	})
	opened := new(wire.Envelope)
	b.Run("open", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if err := sealer.Open(buffer, opened); err != nil {
				b.Fatal(err)
			}
		}
	})
}
