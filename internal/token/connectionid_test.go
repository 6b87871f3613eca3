package token

import (
	"bytes"
	"math/rand/v2"
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/keyring"
)

func newCodec(tb testing.TB, secret byte) *Codec {
	keys, err := keyring.New(1, map[keyring.Epoch][]byte{1: bytes.Repeat([]byte{secret}, keyring.SecretBytes)})
	if err != nil {
		tb.Fatal(err)
	}
	codec, err := NewCodec(keys)
	if err != nil {
		tb.Fatal(err)
	}
	return codec
}

var exampleRoute = Route{Agent: netip.MustParseAddrPort("10.1.2.3:7500"), Zone: 7, Service: MaxService, Incarnation: 65535, Counter: 1 << 31}

func TestDecodeRejectsForgedConnectionIDs(t *testing.T) {
	g := NewWithT(t)
	codec := newCodec(t, 1)
	id := codec.Encode(exampleRoute)
	route, ok := codec.Decode(id[:])
	g.Expect(ok).To(BeTrue())
	g.Expect(route).To(Equal(exampleRoute))
	for bit := range len(id) * 8 {
		forged := id
		forged[bit/8] ^= 1 << (bit % 8)
		_, ok := codec.Decode(forged[:])
		g.Expect(ok).To(BeFalse(), "bit %d", bit)
	}
	_, ok = newCodec(t, 2).Decode(id[:])
	g.Expect(ok).To(BeFalse(), "another cluster's key")
	random := rand.New(rand.NewPCG(5, 5))
	accepted := 0
	for range 1_000_000 {
		for i := range id[1:] {
			id[1+i] = byte(random.Uint32())
		}
		if _, ok := codec.Decode(id[:]); ok {
			accepted++
		}
	}
	// The tag has 24 bits: one in 16.8 million random IDs passes verification. An
	// agent still drops such an ID unless it contains the agent's address, service
	// and zone.
	g.Expect(accepted).To(BeNumerically("<=", 1))
}

func FuzzDecode(f *testing.F) {
	codec := newCodec(f, 1)
	id := codec.Encode(exampleRoute)
	f.Add(id[:])
	f.Add(id[:5])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		route, ok := codec.Decode(data)
		if !ok {
			return
		}
		if encoded := codec.Encode(route); !bytes.Equal(encoded[:], data) {
			t.Fatal("decoded an ID that was not issued")
		}
	})
}

func BenchmarkDecode(b *testing.B) {
	codec := newCodec(b, 1)
	id := codec.Encode(exampleRoute)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := codec.Decode(id[:]); !ok {
			b.Fatal("issued ID was not decoded")
		}
	}
}
