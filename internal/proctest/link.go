package proctest

import (
	"net"
	"sync"
	"time"
)

// Link relays TCP connections to a target and can be cut, held and delayed.
type Link struct {
	target   string
	listener net.Listener

	mu          sync.Mutex
	condition   linkState
	delay       time.Duration
	changed     chan struct{}
	connections map[net.Conn]struct{}
}

type linkState int

const (
	linkUp   linkState = iota
	linkCut            // connections are closed, new ones too
	linkHeld           // connections stay open, and nothing passes
)

// NewLink returns a link to target, host:port. Close it after use.
func NewLink(target string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{target: target, listener: listener, changed: make(chan struct{}), connections: map[net.Conn]struct{}{}}
	go l.accept()
	return l, nil
}

// Address is where the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// SetTarget changes the target of new connections.
func (l *Link) SetTarget(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
}

// Cut closes all connections, and new ones as they come.
func (l *Link) Cut() {
	l.set(linkCut)
	l.closeAll()
}

// Stall lets nothing pass, and closes nothing, as a lossy line does.
func (l *Link) Stall() { l.set(linkHeld) }

// Restore lets everything pass again; what was held goes on.
func (l *Link) Restore() { l.set(linkUp) }

// SetDelay delays each piece of data, in each direction.
func (l *Link) SetDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = delay
}

// Close ends the link.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.set(linkCut)
	l.closeAll()
}

func (l *Link) set(condition linkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.condition = condition
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
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.connect(near)
	}
}

func (l *Link) connect(near net.Conn) {
	defer func() { _ = near.Close() }()
	if !l.track(near) || !l.pass() {
		return
	}
	far, err := net.Dial("tcp", l.currentTarget())
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	if !l.track(far) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { l.copy(far, near) })
	both.Go(func() { l.copy(near, far) })
	both.Wait()
	l.untrack(near, far)
}

func (l *Link) currentTarget() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.target
}

// track remembers a connection; false when the link is cut.
func (l *Link) track(connection net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.condition == linkCut {
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

// pass waits while the link is held; false when it is cut.
func (l *Link) pass() bool {
	for {
		l.mu.Lock()
		condition, changed := l.condition, l.changed
		l.mu.Unlock()
		if condition != linkHeld {
			return condition == linkUp
		}
		<-changed
	}
}

const linkBufferBytes = 32 << 10

// copy moves data one way. The end of either side closes both, since half-open
// connections carry nothing in HTTP.
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
			l.pass()
			return
		}
	}
}

func (l *Link) forward(to net.Conn, data []byte) bool {
	if !l.pass() {
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
