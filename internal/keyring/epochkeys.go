package keyring

import "sync/atomic"

// EpochKeys holds a derived key for each valid epoch of a keyring and derives them
// again when the keyring is rotated. It is safe for concurrent use.
type EpochKeys[K any] struct {
	keyring *Keyring
	newKey  func(derive func(purpose string, length int) ([]byte, error)) (K, error)
	current atomic.Pointer[keySet[K]]
}

// keySet holds the derived keys for one snapshot of the keyring.
type keySet[K any] struct {
	epochs *epochSet
	keys   [256]K
	valid  [256]bool
}

// NewEpochKeys derives the keys of all valid epochs. It calls newKey for each
// epoch; derive derives a key of length bytes from the secret of that epoch.
func NewEpochKeys[K any](keys *Keyring, newKey func(derive func(purpose string, length int) ([]byte, error)) (K, error)) (*EpochKeys[K], error) {
	k := &EpochKeys[K]{keyring: keys, newKey: newKey}
	set, err := k.build(keys.epochs.Load())
	if err != nil {
		return nil, err
	}
	k.current.Store(set)
	return k, nil
}

func (k *EpochKeys[K]) build(epochs *epochSet) (*keySet[K], error) {
	set := &keySet[K]{epochs: epochs}
	for epoch := range epochs.secrets {
		key, err := k.newKey(func(purpose string, length int) ([]byte, error) {
			return epochs.derive(epoch, purpose, length)
		})
		if err != nil {
			return nil, err
		}
		set.keys[epoch], set.valid[epoch] = key, true
	}
	return set, nil
}

// load returns the derived keys for the current state of the keyring.
func (k *EpochKeys[K]) load() *keySet[K] {
	set := k.current.Load()
	epochs := k.keyring.epochs.Load()
	if set.epochs == epochs {
		return set
	}
	next, err := k.build(epochs)
	if err != nil {
		// Derivation from a secret of the checked length always succeeds; if it did
		// not, the previous keys would stay in use.
		return set
	}
	k.current.Store(next)
	return next
}

// Current returns the epoch under which new tokens are issued, and its key.
func (k *EpochKeys[K]) Current() (Epoch, K) {
	set := k.load()
	return set.epochs.current, set.keys[set.epochs.current]
}

// ForEpoch returns the key of an epoch. It returns false if the epoch is not valid.
func (k *EpochKeys[K]) ForEpoch(epoch Epoch) (K, bool) {
	set := k.load()
	return set.keys[epoch], set.valid[epoch]
}
