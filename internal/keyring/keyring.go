// Package keyring derives the cluster's keys from the secrets in the key file.
//
// Every key belongs to an epoch. During a rotation two epochs are valid: new
// tokens are issued under the current one, and tokens of both are accepted.
package keyring

import (
	"bytes"
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"sync/atomic"

	"github.com/zeebo/errs"

	"sassafrasturn.example/internal/finding"
	"sassafrasturn.example/internal/inifile"
)

// Error is the class of this package's errors.
var Error = errs.Class("keyring")

// SecretBytes is the length of each secret in the key file.
const SecretBytes = 32

const section = "keys"

// Epoch is the number of a secret in the key file.
type Epoch uint8

// Keyring holds the secrets of all valid epochs. It is safe for concurrent use,
// including rotation by Replace.
type Keyring struct {
	epochs atomic.Pointer[epochSet]
}

// epochSet is an immutable snapshot of a keyring.
type epochSet struct {
	current Epoch
	secrets map[Epoch][]byte
}

// New returns a keyring with the given secrets.
func New(current Epoch, secrets map[Epoch][]byte) (*Keyring, error) {
	if len(secrets[current]) != SecretBytes {
		return nil, Error.New("no secret of %d bytes for the current epoch %d", SecretBytes, current)
	}
	k := new(Keyring)
	k.epochs.Store(&epochSet{current: current, secrets: maps.Clone(secrets)})
	return k, nil
}

// Replace replaces the epochs with those of another keyring. It reports whether
// they changed.
func (k *Keyring) Replace(other *Keyring) bool {
	next := other.epochs.Load()
	if k.epochs.Load().equal(next) {
		return false
	}
	k.epochs.Store(next)
	return true
}

func (e *epochSet) equal(other *epochSet) bool {
	return e.current == other.current && maps.EqualFunc(e.secrets, other.secrets, bytes.Equal)
}

// Load reads a key file.
func Load(path string) (*Keyring, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return Parse(path, data)
}

// Parse parses the content of a key file. Errors contain name, the name of the file.
func Parse(name string, data []byte) (*Keyring, error) {
	var findings finding.List
	file := inifile.Parse(name, data, &findings)
	current := Epoch(file.Int(section, "current", -1, 0, 255))
	secrets := make(map[Epoch][]byte)
	for _, key := range file.Keys(section) {
		if key == "current" {
			continue
		}
		parseSecret(file, key, secrets)
	}
	if _, ok := secrets[current]; !ok {
		file.Reject(section, "current", fmt.Sprint(current), "the number of a key in this file")
	}
	file.ReportUnknown()
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return New(current, secrets)
}

func parseSecret(file *inifile.File, key string, secrets map[Epoch][]byte) {
	number, err := strconv.ParseUint(key, 10, 8)
	if err != nil {
		file.Reject(section, key, key, "current, or a key number from 0 to 255")
		return
	}
	secret, err := hex.DecodeString(file.String(section, key, ""))
	if err != nil || len(secret) != SecretBytes {
		// The secret must not appear in a log.
		file.Reject(section, key, "(hidden)", "64 hexadecimal digits")
		return
	}
	secrets[Epoch(number)] = secret
}

// Current returns the epoch under which new tokens are issued.
func (k *Keyring) Current() Epoch {
	return k.epochs.Load().current
}

// Oldest returns the valid epoch that became current first. Epoch numbers
// increase with each rotation and wrap around after 255.
func (k *Keyring) Oldest() Epoch {
	epochs := k.epochs.Load()
	oldest := epochs.current
	for epoch := range epochs.secrets {
		if int8(epoch-epochs.current) < int8(oldest-epochs.current) {
			oldest = epoch
		}
	}
	return oldest
}

// Epochs returns all valid epochs in ascending order.
func (k *Keyring) Epochs() []Epoch {
	return slices.Sorted(maps.Keys(k.epochs.Load().secrets))
}

// Derive derives a key of length bytes for a purpose from the secret of an epoch.
func (k *Keyring) Derive(epoch Epoch, purpose string, length int) ([]byte, error) {
	return k.epochs.Load().derive(epoch, purpose, length)
}

func (e *epochSet) derive(epoch Epoch, purpose string, length int) ([]byte, error) {
	secret, ok := e.secrets[epoch]
	if !ok {
		return nil, Error.New("no secret for epoch %d", epoch)
	}
	key, err := hkdf.Key(sha256.New, secret, nil, purpose, length)
	return key, Error.Wrap(err)
}
