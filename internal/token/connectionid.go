// Package token issues and verifies the tokens that callers send: QUIC connection
// IDs, which identify the agent that owns a flow, and idempotency keys, which
// identify the agent that may run a request.
//
// A server-chosen connection ID contains the address of the flow's owner, so that
// a balancer routes established flows without a flow table. The approach follows
// the IETF draft "QUIC-LB: Generating Routable QUIC Connection IDs".
package token

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/subtle"
	"encoding/binary"
	"net/netip"
	"sync"

	"github.com/zeebo/errs"

	"sassafrasturn.example/internal/keyring"
)

// Error is the class of this package's errors.
var Error = errs.Class("token")

// ConnectionIDBytes is the length of a server-chosen connection ID:
// key epoch, one AES block, and an authentication tag over the block.
const ConnectionIDBytes = epochBytes + aes.BlockSize + tagBytes

const (
	epochBytes = 1
	tagBytes   = 3

	aesKeyBytes = 16

	purposeRoute = "connection-id route"
	purposeTag   = "connection-id check"
)

// Route is the content of a connection ID.
type Route struct {
	// Agent is the envelope address of the agent that owns the flow. It must be IPv4.
	Agent netip.AddrPort
	// Zone is the number of the agent's availability zone.
	Zone uint8
	// Service is the number of the service. Only the lower 24 bits are encoded.
	Service uint32
	// Incarnation holds the lower 16 bits of the agent's incarnation.
	Incarnation uint16
	// Counter makes the connection IDs of one incarnation distinct.
	Counter uint32
}

// MaxService is the highest service number that a connection ID can carry.
const MaxService = 1<<24 - 1

// epochCiphers holds the ciphers of one key epoch.
type epochCiphers struct {
	route cipher.Block
	tag   cipher.Block
}

// Codec encodes and decodes connection IDs. It is safe for concurrent use and
// applies rotations of its keyring.
type Codec struct {
	ciphers *keyring.EpochKeys[epochCiphers]
}

// NewCodec returns a codec for all epochs of the keyring.
func NewCodec(keys *keyring.Keyring) (*Codec, error) {
	ciphers, err := keyring.NewEpochKeys(keys, newEpochCiphers)
	if err != nil {
		return nil, err
	}
	return &Codec{ciphers: ciphers}, nil
}

func newEpochCiphers(derive func(purpose string, length int) ([]byte, error)) (epochCiphers, error) {
	var ciphers epochCiphers
	for purpose, block := range map[string]*cipher.Block{purposeRoute: &ciphers.route, purposeTag: &ciphers.tag} {
		key, err := derive(purpose, aesKeyBytes)
		if err != nil {
			return ciphers, err
		}
		if *block, err = aes.NewCipher(key); err != nil {
			return ciphers, Error.Wrap(err)
		}
	}
	return ciphers, nil
}

// blockBuffers holds the cipher blocks of one Encode or Decode. The buffers are
// pooled because local arrays would escape to the heap at each call through the
// cipher.Block interface.
type blockBuffers struct {
	ciphertext, plaintext, tag [aes.BlockSize]byte
}

var blockBufferPool = sync.Pool{New: func() any { return new(blockBuffers) }}

// Encode returns the connection ID for a route under the current epoch.
func (c *Codec) Encode(r Route) [ConnectionIDBytes]byte {
	buffers := blockBufferPool.Get().(*blockBuffers)
	defer blockBufferPool.Put(buffers)
	plaintext := &buffers.plaintext
	address := r.Agent.Addr().As4()
	copy(plaintext[0:4], address[:])
	binary.BigEndian.PutUint16(plaintext[4:6], r.Agent.Port())
	// The service number occupies the lower three bytes; the zone overwrites the highest byte.
	binary.BigEndian.PutUint32(plaintext[6:10], r.Service)
	plaintext[6] = r.Zone
	binary.BigEndian.PutUint16(plaintext[10:12], r.Incarnation)
	binary.BigEndian.PutUint32(plaintext[12:16], r.Counter)

	epoch, ciphers := c.ciphers.Current()
	ciphers.route.Encrypt(buffers.ciphertext[:], plaintext[:])
	ciphers.tag.Encrypt(buffers.tag[:], buffers.ciphertext[:])
	var id [ConnectionIDBytes]byte
	id[0] = byte(epoch)
	copy(id[epochBytes:], buffers.ciphertext[:])
	copy(id[epochBytes+aes.BlockSize:], buffers.tag[:tagBytes])
	return id
}

// Decode returns the route of a connection ID. It returns false for an ID that
// was not issued under a key of the keyring.
func (c *Codec) Decode(id []byte) (Route, bool) {
	if len(id) != ConnectionIDBytes {
		return Route{}, false
	}
	ciphers, ok := c.ciphers.ForEpoch(keyring.Epoch(id[0]))
	if !ok {
		return Route{}, false
	}
	buffers := blockBufferPool.Get().(*blockBuffers)
	defer blockBufferPool.Put(buffers)
	copy(buffers.ciphertext[:], id[epochBytes:])
	ciphers.tag.Encrypt(buffers.tag[:], buffers.ciphertext[:])
	if subtle.ConstantTimeCompare(buffers.tag[:tagBytes], id[epochBytes+aes.BlockSize:]) != 1 {
		return Route{}, false
	}
	plaintext := &buffers.plaintext
	ciphers.route.Decrypt(plaintext[:], buffers.ciphertext[:])
	return Route{
		Agent:       netip.AddrPortFrom(netip.AddrFrom4([4]byte(plaintext[0:4])), binary.BigEndian.Uint16(plaintext[4:6])),
		Zone:        plaintext[6],
		Service:     binary.BigEndian.Uint32(plaintext[6:10]) & MaxService,
		Incarnation: binary.BigEndian.Uint16(plaintext[10:12]),
		Counter:     binary.BigEndian.Uint32(plaintext[12:16]),
	}, true
}
