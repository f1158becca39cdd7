package node

import (
	"net"

	"github.com/comfreyfront/comfreyfront/internal/settings"
)

// listeners are the open listeners of a node.
type listeners struct {
	front, ready, peer net.Listener
	// metrics is nil if no address is configured for it.
	metrics net.Listener
}

// listen opens a listener on each address of the settings.
func listen(config *settings.Node) (l listeners, err error) {
	if l.front, err = net.Listen("tcp", config.Listen); err != nil {
		return l, ErrListen.Wrap(err, "callers")
	}
	if l.ready, err = net.Listen("tcp", config.ReadyListen); err != nil {
		return l, ErrListen.Wrap(err, "readiness")
	}
	if l.peer, err = net.Listen("tcp", config.PeerListen); err != nil {
		return l, ErrListen.Wrap(err, "other nodes")
	}
	if config.MetricsListen == "" {
		return l, nil
	}
	if l.metrics, err = net.Listen("tcp", config.MetricsListen); err != nil {
		return l, ErrListen.Wrap(err, "metrics")
	}
	return l, nil
}
