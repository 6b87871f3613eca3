package token

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/keyring"
	"sassafrasturn.example/internal/wire"
)

const (
	// MaxIdempotencyKeyBytes is the maximum length of the text of an idempotency key.
	MaxIdempotencyKeyBytes = 512

	macBytes              = 16
	macKeyBytes           = 32
	nonceBytes            = 16
	keyPrefix             = "sk1-"
	purposeIdempotencyKey = "idempotency key"
)

var (
	// ErrForeignKey is returned for a text that was not issued by an agent.
	ErrForeignKey = Error.New("not an idempotency key issued by an agent")
	// ErrInvalidKey is returned for a text that has the prefix of an agent's key but
	// fails verification. Callers receive its text in problem details.
	ErrInvalidKey = Error.New("the idempotency key is invalid: verification failed")
)

// KeyID identifies an idempotency key within a ledger.
type KeyID [nonceBytes]byte

// KeyOwner identifies the agent that issued an idempotency key and runs its request.
type KeyOwner struct {
	// Service is the number of the service.
	Service uint32
	// Instance is the name of the agent's instance.
	Instance string
	// Link is the link address of the instance, host:port.
	Link string
	// Incarnation is the incarnation of the instance.
	Incarnation uint64
	// Ledger is the random number of the agent's ledger. It distinguishes ledgers
	// even if the clock from which incarnations are read was set back.
	Ledger uint64
}

// Key is a verified idempotency key.
type Key struct {
	ID    KeyID
	Owner KeyOwner
	// Expires is the time from the creation of the ledger to the expiry of the key.
	Expires time.Duration
}

// KeyCodec issues and verifies idempotency keys. It is safe for concurrent use and
// applies rotations of its keyring.
type KeyCodec struct {
	macKeys *keyring.EpochKeys[[]byte]
}

// NewKeyCodec returns a codec for all epochs of the keyring.
func NewKeyCodec(keys *keyring.Keyring) (*KeyCodec, error) {
	macKeys, err := keyring.NewEpochKeys(keys, newMACKey)
	if err != nil {
		return nil, err
	}
	return &KeyCodec{macKeys: macKeys}, nil
}

func newMACKey(derive func(purpose string, length int) ([]byte, error)) ([]byte, error) {
	return derive(purposeIdempotencyKey, macKeyBytes)
}

// NewLedgerNumber returns a random number for a ledger.
func NewLedgerNumber() uint64 {
	var number [8]byte
	// Read never returns an error.
	_, _ = rand.Read(number[:])
	return binary.BigEndian.Uint64(number[:])
}

// Issue returns the text of a new key. The key expires when the age of the ledger
// reaches expires.
func (c *KeyCodec) Issue(owner KeyOwner, expires time.Duration) (string, error) {
	nonce := make([]byte, nonceBytes)
	// Read never returns an error.
	_, _ = rand.Read(nonce)
	body, err := proto.Marshal(&wire.IdempotencyKey{
		Service:     owner.Service,
		Instance:    owner.Instance,
		Link:        owner.Link,
		Incarnation: owner.Incarnation,
		Ledger:      owner.Ledger,
		ExpiresMs:   uint64(expires.Milliseconds()),
		Nonce:       nonce,
	})
	if err != nil {
		return "", Error.Wrap(err)
	}
	epoch, macKey := c.macKeys.Current()
	sealed := append([]byte{byte(epoch)}, body...)
	sealed = append(sealed, mac(macKey, sealed)...)
	text := keyPrefix + base64.RawURLEncoding.EncodeToString(sealed)
	if len(text) > MaxIdempotencyKeyBytes {
		return "", Error.New("idempotency key of %d bytes, at most %d are allowed; shorten the instance's name", len(text), MaxIdempotencyKeyBytes)
	}
	return text, nil
}

// Parse verifies the text of a key and returns the key. The error is
// ErrForeignKey or ErrInvalidKey.
func (c *KeyCodec) Parse(text string) (Key, error) {
	if !IsAgentKey(text) {
		return Key{}, ErrForeignKey
	}
	if len(text) > MaxIdempotencyKeyBytes {
		return Key{}, ErrInvalidKey
	}
	// Strict rejects non-zero trailing bits, with which several texts would decode
	// to the same bytes.
	sealed, err := base64.RawURLEncoding.Strict().DecodeString(text[len(keyPrefix):])
	if err != nil || len(sealed) < 1+macBytes {
		return Key{}, ErrInvalidKey
	}
	body, sum := sealed[:len(sealed)-macBytes], sealed[len(sealed)-macBytes:]
	macKey, ok := c.macKeys.ForEpoch(keyring.Epoch(sealed[0]))
	if !ok || !hmac.Equal(sum, mac(macKey, body)) {
		return Key{}, ErrInvalidKey
	}
	return decodeKey(body[1:])
}

func decodeKey(body []byte) (Key, error) {
	message := new(wire.IdempotencyKey)
	if proto.Unmarshal(body, message) != nil || len(message.Nonce) != nonceBytes {
		return Key{}, ErrInvalidKey
	}
	return Key{
		ID: KeyID(message.Nonce),
		Owner: KeyOwner{
			Service:     message.Service,
			Instance:    message.Instance,
			Link:        message.Link,
			Incarnation: message.Incarnation,
			Ledger:      message.Ledger,
		},
		Expires: time.Duration(message.ExpiresMs) * time.Millisecond,
	}, nil
}

func mac(key, body []byte) []byte {
	hash := hmac.New(sha256.New, key)
	hash.Write(body)
	return hash.Sum(nil)[:macBytes]
}

// IsAgentKey reports whether a text has the prefix of the keys that agents issue.
func IsAgentKey(text string) bool {
	return strings.HasPrefix(text, keyPrefix)
}
