package token

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/keyring"
)

func newTestKeyring(t *testing.T, current keyring.Epoch, epochs ...keyring.Epoch) *keyring.Keyring {
	secrets := make(map[keyring.Epoch][]byte)
	for _, epoch := range epochs {
		secrets[epoch] = bytes.Repeat([]byte{byte(epoch)}, keyring.SecretBytes)
	}
	keys, err := keyring.New(current, secrets)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return keys
}

func newTestKeyCodec(t *testing.T, current keyring.Epoch, epochs ...keyring.Epoch) *KeyCodec {
	codec, err := NewKeyCodec(newTestKeyring(t, current, epochs...))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return codec
}

func TestIdempotencyKey(t *testing.T) {
	g := NewWithT(t)
	owner := KeyOwner{Service: 7, Instance: "order-desk-1", Link: "10.0.0.1:7400", Incarnation: 99, Ledger: 5}
	oldCodec := newTestKeyCodec(t, 1, 1)
	text, err := oldCodec.Issue(owner, time.Minute)
	g.Expect(err).NotTo(HaveOccurred())

	key, err := newTestKeyCodec(t, 2, 1, 2).Parse(text)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(key.Owner).To(Equal(owner))
	g.Expect(key.Expires).To(Equal(time.Minute))

	second, err := oldCodec.Issue(owner, time.Minute)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(second).NotTo(Equal(text))

	_, err = newTestKeyCodec(t, 2, 2).Parse(text)
	g.Expect(err).To(MatchError(ErrInvalidKey), "the epoch is no longer valid")
	_, err = oldCodec.Parse("order-4711")
	g.Expect(err).To(MatchError(ErrForeignKey))
	for i := len(keyPrefix); i < len(text); i++ {
		forged := []byte(text)
		forged[i] ^= 1
		_, err = oldCodec.Parse(string(forged))
		g.Expect(err).To(MatchError(ErrInvalidKey), "byte %d", i)
		_, err = oldCodec.Parse(text[:i])
		g.Expect(err).To(HaveOccurred(), "truncated to %d bytes", i)
	}
}

// The keyring of a running process is rotated. Keys are issued under the new epoch, and
// those of a withdrawn epoch are rejected, also by a process that restarts later.
func TestKeyCodecFollowsRotationsOfItsKeyring(t *testing.T) {
	g := NewWithT(t)
	keys := newTestKeyring(t, 1, 1)
	codec, err := NewKeyCodec(keys)
	g.Expect(err).NotTo(HaveOccurred())
	issue := func(c *KeyCodec) string {
		text, err := c.Issue(KeyOwner{Instance: "order-desk-1"}, time.Minute)
		g.Expect(err).NotTo(HaveOccurred())
		return text
	}
	first := issue(codec)

	keys.Replace(newTestKeyring(t, 2, 1, 2))
	second := issue(codec)
	for _, text := range []string{first, second, issue(newTestKeyCodec(t, 2, 2))} {
		_, err = codec.Parse(text)
		g.Expect(err).NotTo(HaveOccurred())
	}
	_, err = newTestKeyCodec(t, 2, 2).Parse(second)
	g.Expect(err).NotTo(HaveOccurred(), "must be issued under the current epoch")

	keys.Replace(newTestKeyring(t, 2, 2))
	for _, c := range []*KeyCodec{codec, newTestKeyCodec(t, 2, 2)} {
		_, err = c.Parse(first)
		g.Expect(err).To(MatchError(ErrInvalidKey), "the epoch was withdrawn")
		_, err = c.Parse(second)
		g.Expect(err).NotTo(HaveOccurred())
	}
}
