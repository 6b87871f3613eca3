// Package envelope seals and opens the authenticated envelopes that carry
// callers' datagrams between balancers and agents over UDP.
//
// On the wire an envelope is one byte of format, one byte of key epoch, a tag
// over the format, the epoch and the message, and the protobuf message.
package envelope

import (
	"crypto/hmac"
	"crypto/sha256"
	"hash"
	"net/netip"
	"sync"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/keyring"
	"sassafrasturn.example/internal/wire"
)

// Error is the class of this package's errors.
var Error = errs.Class("envelope")

// Errors of Open.
var (
	ErrMalformed = Error.New("malformed envelope")
	ErrForged    = Error.New("envelope with a wrong tag or an unknown key epoch")
)

// MaxBytes bounds an envelope on the wire: the largest UDP payload.
const MaxBytes = 65507

const (
	format      = 1
	tagBytes    = 16
	headerBytes = 2 + tagBytes
	keyBytes    = 32
	purpose     = "envelope tag"
)

// Sealer seals and opens envelopes. It is safe for concurrent use and follows
// rotations of its keyring.
type Sealer struct {
	macs *keyring.Working[*sync.Pool]
}

// NewSealer makes a sealer for all epochs of the keyring.
func NewSealer(keys *keyring.Keyring) (*Sealer, error) {
	macs, err := keyring.NewWorking(keys, newMACs)
	if err != nil {
		return nil, err
	}
	return &Sealer{macs: macs}, nil
}

func newMACs(derive func(purpose string, length int) ([]byte, error)) (*sync.Pool, error) {
	key, err := derive(purpose, keyBytes)
	if err != nil {
		return nil, err
	}
	return &sync.Pool{New: func() any { return hmac.New(sha256.New, key) }}, nil
}

// Seal appends the sealed envelope to buffer.
func (s *Sealer) Seal(buffer []byte, message *wire.Envelope) ([]byte, error) {
	start := len(buffer)
	epoch, macs := s.macs.Current()
	var noTag [tagBytes]byte
	buffer = append(buffer, format, byte(epoch))
	buffer = append(buffer, noTag[:]...)
	buffer, err := proto.MarshalOptions{}.MarshalAppend(buffer, message)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	sealed := buffer[start:]
	if len(sealed) > MaxBytes {
		return nil, Error.New("envelope of %d bytes, at most %d fit", len(sealed), MaxBytes)
	}
	tag(macs, sealed, sealed[2:headerBytes])
	return buffer, nil
}

// Open checks the tag and reads the message.
func (s *Sealer) Open(data []byte, message *wire.Envelope) error {
	if len(data) < headerBytes || data[0] != format {
		return ErrMalformed
	}
	macs, ok := s.macs.Of(keyring.Epoch(data[1]))
	if !ok {
		return ErrForged
	}
	var want [tagBytes]byte
	tag(macs, data, want[:])
	if !hmac.Equal(want[:], data[2:headerBytes]) {
		return ErrForged
	}
	if err := proto.Unmarshal(data[headerBytes:], message); err != nil {
		return ErrMalformed
	}
	return nil
}

func tag(pool *sync.Pool, sealed, into []byte) {
	mac := pool.Get().(hash.Hash)
	mac.Reset()
	mac.Write(sealed[:2])
	mac.Write(sealed[headerBytes:])
	var sum [sha256.Size]byte
	copy(into, mac.Sum(sum[:0])[:tagBytes])
	pool.Put(mac)
}

const portBytes = 2

// PackAddress gives an address as it stands in envelopes and records.
func PackAddress(address netip.AddrPort) []byte {
	return AppendAddress(nil, address)
}

// AppendAddress appends what PackAddress gives.
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

// UnpackAddress reads what PackAddress wrote.
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
