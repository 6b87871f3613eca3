package keyring

import "sync/atomic"

// EpochKeys holds one working key for each valid epoch and makes them anew when
// the keyring is rotated. It is safe for concurrent use.
type EpochKeys[K any] struct {
	keyring *Keyring
	newKey  func(derive func(purpose string, length int) ([]byte, error)) (K, error)
	current atomic.Pointer[keySet[K]]
}

// keySet belongs to one state of the keyring.
type keySet[K any] struct {
	epochs *epochSet
	keys   [256]K
	valid  [256]bool
}

// NewEpochKeys makes the working keys; newKey makes the one of an epoch with
// keys that it derives for its purposes.
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

// load returns the working keys of the keyring's present state.
func (k *EpochKeys[K]) load() *keySet[K] {
	set := k.current.Load()
	epochs := k.keyring.epochs.Load()
	if set.epochs == epochs {
		return set
	}
	next, err := k.build(epochs)
	if err != nil {
		// Keys of checked length always derive; the earlier ones stay in use if not.
		return set
	}
	k.current.Store(next)
	return next
}

// Current returns the epoch for new tokens and its key.
func (k *EpochKeys[K]) Current() (Epoch, K) {
	set := k.load()
	return set.epochs.current, set.keys[set.epochs.current]
}

// ForEpoch returns the key of an epoch; false when the epoch is not valid.
func (k *EpochKeys[K]) ForEpoch(epoch Epoch) (K, bool) {
	set := k.load()
	return set.keys[epoch], set.valid[epoch]
}
