package machine

import (
	"bytes"
	"context"
	"os"
	"time"

	"sassafrasturn.example/internal/keyring"
)

// keyFileInterval separates looks at the key file.
const keyFileInterval = time.Second

// watchKeyFile rotates the keyring whenever the key file changes.
func (i *Instance) watchKeyFile(ctx context.Context) {
	ticker := time.NewTicker(keyFileInterval)
	defer ticker.Stop()
	var previous []byte
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			previous = i.reloadKeys(previous)
		}
	}
}

// reloadKeys reads the key file and returns its text. A file that is the same
// as the one seen before, or that cannot be used, changes nothing.
func (i *Instance) reloadKeys(previous []byte) []byte {
	path := i.Settings.Cluster.KeyFile
	data, err := os.ReadFile(path)
	if err != nil || bytes.Equal(data, previous) {
		return previous
	}
	next, err := keyring.Parse(path, data)
	if err != nil {
		i.Log.Error().Err(err).Msg("key file not taken over, the earlier keys stay in use")
		return data
	}
	if i.Keys.Replace(next) {
		i.Log.Info().Int("current", int(next.Current())).Int("epochs", len(next.Epochs())).Msg("keys rotated")
	}
	return data
}
