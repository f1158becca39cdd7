package node

import (
	"context"
	"log/slog"

	"github.com/comfreyfront/comfreyfront/internal/boottime"
	"github.com/comfreyfront/comfreyfront/internal/cluster"
	"github.com/comfreyfront/comfreyfront/internal/duty"
)

// beginTenure returns the tenure of a duty whose unit this node acquired just now.
func (n *Node) beginTenure(unit cluster.Unit) *duty.Held {
	return duty.Begin(duty.Options{
		Credentials:  duty.Credentials{Holder: n.config.Name, Generation: unit.Epoch},
		Confirm:      func(ctx context.Context) error { return n.cluster.ConfirmUnit(ctx, unit) },
		HolderChange: n.config.HolderChange,
		Pace:         n.managementPace,
		Now:          boottime.Now,
	})
}

// dutyAttrs describes the beginning of a tenure in the log.
func dutyAttrs(unit cluster.Unit, tenure *duty.Held) []slog.Attr {
	return []slog.Attr{
		slog.String("duty", unit.Name), slog.Int64("generation", unit.Epoch), slog.Int64("waits_ms", tenure.Waits().Milliseconds()),
	}
}
