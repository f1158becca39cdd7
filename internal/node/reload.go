package node

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/settings"
)

// Reload provides the settings again after they may have changed.
type Reload struct {
	// Requested receives a value when an operator requests a reload; it may be nil.
	Requested <-chan struct{}
	// Read reads the settings again. It is nil if they cannot change.
	Read func() (*settings.Node, error)
}

// reloadInterval is how often the settings are read without a request.
const reloadInterval = 5 * time.Second

// watchSettings applies the log level, the only setting that may change while the
// process runs, and logs which other changed settings need a restart.
func watchSettings(ctx context.Context, current *settings.Node, reload Reload, threshold *slog.LevelVar, logger *slog.Logger) {
	if reload.Read == nil {
		return
	}
	lastLogged := ""
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		requested := false
		select {
		case <-ctx.Done():
			return
		case <-reload.Requested:
			requested = true
		case <-ticker.C:
		}
		next, err := reload.Read()
		if err != nil {
			if text := err.Error(); requested || text != lastLogged {
				lastLogged = text
				event.SettingsRejected.Log(ctx, logger, slog.String("cause", settings.Explain(err)))
			}
			continue
		}
		if level, err := next.Level(); err == nil {
			threshold.Set(level)
		}
		differs := strings.Join(current.Differences(next), ",")
		if requested || differs != lastLogged {
			lastLogged = differs
			event.SettingsReloaded.Log(ctx, logger, slog.String("differs", differs))
		}
	}
}
