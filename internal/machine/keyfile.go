package machine

import (
	"bytes"
	"context"
	"os"
	"time"

	"sassafrasturn.example/internal/keyring"
)

// keyFileInterval is the interval between checks of the key file for changes.
const keyFileInterval = time.Second

// watchKeyFile replaces the keys whenever the key file changes, until ctx ends.
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

// reloadKeys reads the key file and returns its contents, to be passed as previous to
// the next call. It keeps the current keys if the file has not changed or is not valid.
func (i *Instance) reloadKeys(previous []byte) []byte {
	path := i.Settings.Cluster.KeyFile
	data, err := os.ReadFile(path)
	if err != nil || bytes.Equal(data, previous) {
		return previous
	}
	next, err := keyring.Parse(path, data)
	if err != nil {
		i.Log.Error().Err(err).Msg("key file rejected; keeping the previous keys")
		return data
	}
	if i.Keys.Replace(next) {
		i.Log.Info().Int("current", int(next.Current())).Int("epochs", len(next.Epochs())).Msg("keys rotated")
	}
	return data
}
