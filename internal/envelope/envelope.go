// Package envelope seals and opens the authenticated envelopes that carry
// callers' datagrams between balancers and agents over UDP.
//
// On the wire an envelope consists of a format byte, a key epoch byte, a nonce, an
// AES-GCM tag over the message, and the protobuf message in plaintext: its payload
// is a QUIC datagram, which is already encrypted.
package envelope

import (
	"crypto/aes"
	"crypto/cipher"
	"net/netip"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/keyring"
	"sassafrasturn.example/internal/wire"
)

// Error is the class of this package's errors.
var Error = errs.Class("envelope")

// Errors that Open and OpenBytes return.
var (
	ErrMalformed = Error.New("malformed envelope")
	ErrForged    = Error.New("envelope with a wrong tag or an unknown key epoch")
)

// MaxBytes is the maximum length of an envelope: the largest UDP payload over IPv4.
const MaxBytes = 65507

const (
	formatVersion = 2
	nonceStart    = 2
	nonceBytes    = 12
	tagStart      = nonceStart + nonceBytes
	tagBytes      = 16
	headerBytes   = tagStart + tagBytes
	keyBytes      = 16
	tagPurpose    = "envelope tag"
)

// Sealer seals and opens envelopes. It is safe for concurrent use and applies
// rotations of its keyring.
type Sealer struct {
	aeads  *keyring.EpochKeys[cipher.AEAD]
	nonces nonceSource
}

// NewSealer returns a sealer for all epochs of the keyring.
func NewSealer(keys *keyring.Keyring) (*Sealer, error) {
	aeads, err := keyring.NewEpochKeys(keys, newAEAD)
	if err != nil {
		return nil, err
	}
	return &Sealer{aeads: aeads}, nil
}

func newAEAD(derive func(purpose string, length int) ([]byte, error)) (cipher.AEAD, error) {
	key, err := derive(tagPurpose, keyBytes)
	if err != nil {
		return nil, err
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	aead, err := cipher.NewGCM(block)
	return aead, Error.Wrap(err)
}

// Seal appends message to buffer as a sealed envelope.
func (s *Sealer) Seal(buffer []byte, message *wire.Envelope) ([]byte, error) {
	start := len(buffer)
	buffer, err := proto.MarshalOptions{}.MarshalAppend(appendHeader(buffer), message)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if err := s.writeHeader(buffer[start:]); err != nil {
		return nil, err
	}
	return buffer, nil
}

// SealBytes is like Seal, for a message that is not a protobuf envelope.
func (s *Sealer) SealBytes(buffer, message []byte) ([]byte, error) {
	start := len(buffer)
	buffer = append(appendHeader(buffer), message...)
	return buffer, s.writeHeader(buffer[start:])
}

func appendHeader(buffer []byte) []byte {
	var space [headerBytes]byte
	return append(buffer, space[:]...)
}

// writeHeader fills in the header, including the tag, in front of the message that
// sealed contains.
func (s *Sealer) writeHeader(sealed []byte) error {
	if len(sealed) > MaxBytes {
		return Error.New("envelope of %d bytes, at most %d fit into a UDP datagram", len(sealed), MaxBytes)
	}
	epoch, aead := s.aeads.Current()
	sealed[0], sealed[1] = formatVersion, byte(epoch)
	nonce := sealed[nonceStart:tagStart]
	s.nonces.next(nonce)
	aead.Seal(sealed[tagStart:tagStart], nonce, nil, sealed[headerBytes:])
	return nil
}

// Open verifies the tag and decodes the message.
func (s *Sealer) Open(data []byte, message *wire.Envelope) error {
	content, err := s.OpenBytes(data)
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(content, message); err != nil {
		return ErrMalformed
	}
	return nil
}

// OpenBytes verifies the tag and returns the message, which shares the memory of data.
func (s *Sealer) OpenBytes(data []byte) ([]byte, error) {
	if len(data) < headerBytes || data[0] != formatVersion {
		return nil, ErrMalformed
	}
	aead, ok := s.aeads.ForEpoch(keyring.Epoch(data[1]))
	if !ok {
		return nil, ErrForged
	}
	if _, err := aead.Open(nil, data[nonceStart:tagStart], data[tagStart:headerBytes], data[headerBytes:]); err != nil {
		return nil, ErrForged
	}
	return data[headerBytes:], nil
}

const portBytes = 2

// PackAddress encodes an address for envelopes and records: 4 or 16 bytes of IP
// address and 2 bytes of port, big-endian.
func PackAddress(address netip.AddrPort) []byte {
	return AppendAddress(nil, address)
}

// AppendAddress appends the encoding of PackAddress to buffer.
func AppendAddress(buffer []byte, address netip.AddrPort) []byte {
	if ip := address.Addr().Unmap(); ip.Is4() {
		bytes := ip.As4()
		buffer = append(buffer, bytes[:]...)
	} else if ip.Is6() {
		bytes := ip.As16()
		buffer = append(buffer, bytes[:]...)
	}
	return append(buffer, byte(address.Port()>>8), byte(address.Port()))
}

// UnpackAddress decodes what PackAddress encoded. It returns false for data of
// another length.
func UnpackAddress(data []byte) (netip.AddrPort, bool) {
	if len(data) < portBytes {
		return netip.AddrPort{}, false
	}
	split := len(data) - portBytes
	ip, ok := netip.AddrFromSlice(data[:split])
	if !ok {
		return netip.AddrPort{}, false
	}
	port := uint16(data[split])<<8 | uint16(data[split+1])
	return netip.AddrPortFrom(ip, port), true
}
