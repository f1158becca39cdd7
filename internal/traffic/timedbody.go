package traffic

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// bodyTimeout bounds the time in which a caller sends its body, so that a slow
// one holds a connection for a bounded time.
const bodyTimeout = 30 * time.Second

// timedBody reads a request's body within bodyTimeout. The deadline ends with
// the body, so that it does not cut off a long answer.
type timedBody struct {
	io.ReadCloser
	control *http.ResponseController
	start   sync.Once
}

func newTimedBody(w http.ResponseWriter, body io.ReadCloser) io.ReadCloser {
	return &timedBody{ReadCloser: body, control: http.NewResponseController(w)}
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	b.start.Do(func() { b.setDeadline(time.Now().Add(bodyTimeout)) })
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.setDeadline(time.Time{})
	}
	return n, err
}

// setDeadline has no effect where the connection takes no deadline.
func (b *timedBody) setDeadline(at time.Time) {
	_ = b.control.SetReadDeadline(at)
}
