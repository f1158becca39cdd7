package node

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/settings"
)

// Reload tells of changed settings.
type Reload struct {
	// Requested is told when someone asks for a new reading; it may be nil.
	Requested <-chan struct{}
	// Read reads the settings again; nil when they cannot change.
	Read func() (*settings.Node, error)
}

// reloadEvery is how often the settings are read without being asked.
const reloadEvery = 5 * time.Second

// watchSettings takes what may change while the process runs, the log level, and
// says which settings wait for a restart.
func watchSettings(ctx context.Context, current *settings.Node, reload Reload, threshold *slog.LevelVar, logger *slog.Logger) {
	if reload.Read == nil {
		return
	}
	told := ""
	ticker := time.NewTicker(reloadEvery)
	defer ticker.Stop()
	for {
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-reload.Requested:
			asked = true
		case <-ticker.C:
		}
		next, err := reload.Read()
		if err != nil {
			if text := err.Error(); asked || text != told {
				told = text
				event.SettingsWrong.Log(ctx, logger, slog.String("cause", settings.Explain(err)))
			}
			continue
		}
		if level, err := next.Level(); err == nil {
			threshold.Set(level)
		}
		differs := strings.Join(current.Differences(next), ",")
		if asked || differs != told {
			told = differs
			event.SettingsReread.Log(ctx, logger, slog.String("differs", differs))
		}
	}
}
