package token

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/keyring"
)

func newTestCodec(t *testing.T, current keyring.Epoch, epochs ...keyring.Epoch) *KeyCodec {
	secrets := make(map[keyring.Epoch][]byte)
	for _, epoch := range epochs {
		secrets[epoch] = bytes.Repeat([]byte{byte(epoch)}, keyring.SecretBytes)
	}
	keys, err := keyring.New(current, secrets)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	codec, err := NewKeyCodec(keys)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return codec
}

func TestIdempotencyKey(t *testing.T) {
	g := NewWithT(t)
	owner := KeyOwner{Service: 7, Instance: "order-desk-1", Link: "10.0.0.1:7400", Incarnation: 99, Ledger: 5}
	old := newTestCodec(t, 1, 1)
	text, err := old.Issue(owner, time.Minute)
	g.Expect(err).NotTo(HaveOccurred())

	key, err := newTestCodec(t, 2, 1, 2).Parse(text)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(key.Owner).To(Equal(owner))
	g.Expect(key.Expires).To(Equal(time.Minute))

	again, err := old.Issue(owner, time.Minute)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again).NotTo(Equal(text))

	_, err = newTestCodec(t, 2, 2).Parse(text)
	g.Expect(err).To(MatchError(ErrUnprovenKey), "the epoch is no longer valid")
	_, err = old.Parse("order-4711")
	g.Expect(err).To(MatchError(ErrForeignKey))
	for i := len(textPrefix); i < len(text); i++ {
		forged := []byte(text)
		forged[i] ^= 1
		_, err = old.Parse(string(forged))
		g.Expect(err).To(MatchError(ErrUnprovenKey), "byte %d", i)
		_, err = old.Parse(text[:i])
		g.Expect(err).To(HaveOccurred(), "cut at %d", i)
	}
}
