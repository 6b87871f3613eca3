package machine

import (
	"context"
	"net/netip"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"sassafrasturn.example/internal/settings"
)

// settingsInterval is the interval between checks of the settings file for changes.
const settingsInterval = time.Second

// SettingsSource is where the settings of a running instance come from.
type SettingsSource struct {
	// Path is the file that is checked for changes.
	Path string
	// Load reads and validates the settings.
	Load func() (*settings.Settings, error)
}

// Peers returns the link addresses of the instances to join, from the latest settings.
func (i *Instance) Peers() []netip.AddrPort {
	return *i.peers.Load()
}

// watchSettings reloads the peers on SIGHUP and whenever the settings file changes, until
// ctx ends. Changes to other settings take effect at the next start.
func (i *Instance) watchSettings(ctx context.Context) {
	if i.Source.Load == nil {
		return
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	lastModified := i.settingsModTime()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			modified := i.settingsModTime()
			if modified.Equal(lastModified) {
				continue
			}
			lastModified = modified
		}
		i.reload()
	}
}

func (i *Instance) settingsModTime() time.Time {
	info, err := os.Stat(i.Source.Path)
	if err != nil {
		// The file is being replaced. The next check finds the new one.
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the settings again and applies their peers. If the settings are not
// valid, the current peers stay in use.
func (i *Instance) reload() {
	next, err := i.Source.Load()
	if err != nil {
		i.Log.Error().Err(err).Msg("settings rejected; keeping the previous settings")
		return
	}
	i.logWarnings(next)
	if slices.Equal(i.Peers(), next.Cluster.Peers) {
		i.Log.Info().Msg("settings reloaded; peers unchanged")
		return
	}
	i.peers.Store(&next.Cluster.Peers)
	i.Log.Info().Int("peers", len(next.Cluster.Peers)).Msg("peers updated from changed settings")
}

// logWarnings logs what was left out of the settings.
func (i *Instance) logWarnings(s *settings.Settings) {
	for _, warning := range s.Warnings {
		i.Log.Warn().Str("entry", warning).Msg("entry of the settings left out")
	}
}
