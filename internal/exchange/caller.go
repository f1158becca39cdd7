package exchange

import (
	"context"
	"errors"
	"net/http"
	"syscall"

	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
)

// Caller exchanges news with one peer. It fails with ErrRefused or ErrUnreachable.
type Caller interface {
	Exchange(ctx context.Context, address string, news *peerpb.News) (*peerpb.News, error)
}

// HTTPCaller calls peers over Twirp with one HTTP client.
type HTTPCaller struct {
	client *http.Client
}

// NewHTTPCaller returns a Caller that uses an HTTP client.
func NewHTTPCaller(client *http.Client) *HTTPCaller {
	return &HTTPCaller{client: client}
}

// Exchange sends news to the peer at host:port and returns its reply.
func (c *HTTPCaller) Exchange(ctx context.Context, address string, news *peerpb.News) (*peerpb.News, error) {
	reply, err := peerpb.NewPeerProtobufClient("http://"+address, c.client).Exchange(ctx, news)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, ErrRefused.New("exchange with %s: %v", address, err)
	}
	if err != nil {
		return nil, ErrUnreachable.New("exchange with %s: %v", address, err)
	}
	return reply, nil
}
