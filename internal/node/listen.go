package node

import (
	"net"

	"github.com/comfreyfront/comfreyfront/internal/settings"
)

// listeners are the open addresses of a node.
type listeners struct {
	front, ready, peer net.Listener
	// metrics is nil when there is no address for it.
	metrics net.Listener
}

// listen opens the addresses of the settings.
func listen(chosen *settings.Node) (l listeners, err error) {
	if l.front, err = net.Listen("tcp", chosen.Listen); err != nil {
		return l, ErrListen.Wrap(err, "callers")
	}
	if l.ready, err = net.Listen("tcp", chosen.ReadyListen); err != nil {
		return l, ErrListen.Wrap(err, "readiness")
	}
	if l.peer, err = net.Listen("tcp", chosen.PeerListen); err != nil {
		return l, ErrListen.Wrap(err, "other nodes")
	}
	if chosen.MetricsListen == "" {
		return l, nil
	}
	if l.metrics, err = net.Listen("tcp", chosen.MetricsListen); err != nil {
		return l, ErrListen.Wrap(err, "metrics")
	}
	return l, nil
}
