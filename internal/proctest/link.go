package proctest

import (
	"net"
	"sync"
	"time"
)

// Link is a TCP relay to one target that can close, stall or delay its connections.
type Link struct {
	target   string
	listener net.Listener

	mu          sync.Mutex
	state       linkState
	delay       time.Duration
	changed     chan struct{}
	connections map[net.Conn]struct{}
}

type linkState int

const (
	linkUp      linkState = iota
	linkCut               // existing and new connections are closed
	linkStalled           // connections stay open and no data is forwarded
)

// NewLink starts a link to target, a host:port. The caller must close it.
func NewLink(target string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{target: target, listener: listener, changed: make(chan struct{}), connections: map[net.Conn]struct{}{}}
	go l.accept()
	return l, nil
}

// Address returns the host:port on which the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// SetTarget changes the target of connections opened from now on.
func (l *Link) SetTarget(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
}

// Cut closes all connections, and each new one when it is accepted.
func (l *Link) Cut() {
	l.setState(linkCut)
	l.closeAll()
}

// Stall forwards no data and closes no connection, as on a network that drops all packets.
func (l *Link) Stall() { l.setState(linkStalled) }

// Restore forwards data again, including data that was stalled.
func (l *Link) Restore() { l.setState(linkUp) }

// SetDelay delays each chunk of data in both directions.
func (l *Link) SetDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = delay
}

// Close stops listening and closes all connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.setState(linkCut)
	l.closeAll()
}

func (l *Link) setState(state linkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Link) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for connection := range l.connections {
		_ = connection.Close()
	}
	clear(l.connections)
}

func (l *Link) accept() {
	for {
		inbound, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.connect(inbound)
	}
}

func (l *Link) connect(inbound net.Conn) {
	defer func() { _ = inbound.Close() }()
	if !l.track(inbound) || !l.waitWhileStalled() {
		return
	}
	outbound, err := net.Dial("tcp", l.currentTarget())
	if err != nil {
		return
	}
	defer func() { _ = outbound.Close() }()
	if !l.track(outbound) {
		return
	}
	var copies sync.WaitGroup
	copies.Go(func() { l.copy(outbound, inbound) })
	copies.Go(func() { l.copy(inbound, outbound) })
	copies.Wait()
	l.untrack(inbound, outbound)
}

func (l *Link) currentTarget() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.target
}

// track registers an open connection, so that Cut can close it. It returns false if the link is
// cut.
func (l *Link) track(connection net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == linkCut {
		return false
	}
	l.connections[connection] = struct{}{}
	return true
}

func (l *Link) untrack(connections ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, connection := range connections {
		delete(l.connections, connection)
	}
}

// waitWhileStalled waits while the link is stalled. It returns false if the link is cut.
func (l *Link) waitWhileStalled() bool {
	for {
		l.mu.Lock()
		state, changed := l.state, l.changed
		l.mu.Unlock()
		if state != linkStalled {
			return state == linkUp
		}
		<-changed
	}
}

// linkBufferBytes is the size of the largest chunk that a link forwards at once.
const linkBufferBytes = 32 << 10

// copy forwards data in one direction. When either side closes, it closes both connections, since
// HTTP makes no use of half-closed ones.
func (l *Link) copy(to, from net.Conn) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, linkBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !l.forward(to, buffer[:n]) {
			return
		}
		if err != nil {
			l.waitWhileStalled()
			return
		}
	}
}

// forward writes one chunk after the link's delay. It returns false if the link is cut or the write
// fails.
func (l *Link) forward(to net.Conn, data []byte) bool {
	if !l.waitWhileStalled() {
		return false
	}
	l.mu.Lock()
	delay := l.delay
	l.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	_, err := to.Write(data)
	return err == nil
}
