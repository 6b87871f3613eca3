package keyring

import "sync/atomic"

// Working holds one working key for each valid epoch and makes them anew when
// the keyring is rotated. It is safe for concurrent use.
type Working[K any] struct {
	keys *Keyring
	make func(derive func(purpose string, length int) ([]byte, error)) (K, error)
	held atomic.Pointer[workingKeys[K]]
}

// workingKeys belongs to one state of the keyring.
type workingKeys[K any] struct {
	from  *epochs
	keys  [256]K
	valid [256]bool
}

// NewWorking makes the working keys; newKey makes the one of an epoch with
// keys that it derives for its purposes.
func NewWorking[K any](keys *Keyring, newKey func(derive func(purpose string, length int) ([]byte, error)) (K, error)) (*Working[K], error) {
	w := &Working[K]{keys: keys, make: newKey}
	held, err := w.build(keys.held.Load())
	if err != nil {
		return nil, err
	}
	w.held.Store(held)
	return w, nil
}

func (w *Working[K]) build(from *epochs) (*workingKeys[K], error) {
	held := &workingKeys[K]{from: from}
	for epoch := range from.secrets {
		key, err := w.make(func(purpose string, length int) ([]byte, error) {
			return from.derive(epoch, purpose, length)
		})
		if err != nil {
			return nil, err
		}
		held.keys[epoch], held.valid[epoch] = key, true
	}
	return held, nil
}

// load returns the working keys of the keyring's present state.
func (w *Working[K]) load() *workingKeys[K] {
	held := w.held.Load()
	from := w.keys.held.Load()
	if held.from == from {
		return held
	}
	next, err := w.build(from)
	if err != nil {
		// Keys of checked length always derive; the earlier ones stay in use if not.
		return held
	}
	w.held.Store(next)
	return next
}

// Current returns the epoch for new tokens and its key.
func (w *Working[K]) Current() (Epoch, K) {
	held := w.load()
	return held.from.current, held.keys[held.from.current]
}

// Of returns the key of an epoch; false when the epoch is not valid.
func (w *Working[K]) Of(epoch Epoch) (K, bool) {
	held := w.load()
	return held.keys[epoch], held.valid[epoch]
}
