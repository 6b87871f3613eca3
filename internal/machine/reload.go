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

// settingsInterval separates looks at whether the settings file has changed.
const settingsInterval = time.Second

// SettingsSource is where the settings of a running instance come from.
type SettingsSource struct {
	// Path is the file whose change calls for reading the settings again.
	Path string
	// Load reads and checks the settings.
	Load func() (*settings.Settings, error)
}

// Peers returns the link addresses of instances to join, as the settings name
// them now.
func (i *Instance) Peers() []netip.AddrPort {
	return *i.peers.Load()
}

// watchSettings takes over changed peers at SIGHUP and when the settings file
// changes. Other settings take effect at the next start.
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
		// The file is being replaced; the next look finds it.
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the settings again. Settings with findings change nothing.
func (i *Instance) reload() {
	next, err := i.Source.Load()
	if err != nil {
		i.Log.Error().Err(err).Msg("settings not taken over, the earlier ones stay in force")
		return
	}
	if slices.Equal(i.Peers(), next.Cluster.Peers) {
		i.Log.Info().Msg("settings read again, nothing to take over")
		return
	}
	i.peers.Store(&next.Cluster.Peers)
	i.Log.Info().Int("peers", len(next.Cluster.Peers)).Msg("peers taken over from changed settings")
}
