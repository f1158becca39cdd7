package strict

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/strict/stricttest"
)

// largeBody is the body of a request that is still being written when an early answer arrives.
var largeBody = make([]byte, stricttest.LargeBytes)

// send sends a request to a server with an early answer and returns the body of the answer.
func send(t *testing.T, answer stricttest.Early, request io.Reader) (string, error) {
	t.Helper()
	server := stricttest.NewEarlyServer(func(*http.Request) stricttest.Early { return answer })
	defer server.Close()
	transport := NewTransport(&http.Transport{})
	defer transport.CloseIdleConnections()
	post, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+server.Address(), request)
	require.NoError(t, err)
	response, err := transport.RoundTrip(post)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// uploadRounds is how often each early answer is played, since it depends on the moment whether a
// write or a read is told of the end.
const uploadRounds = 8

// TestEarlyAnswerThatBreaksIsNotWhole plays answers without a length whose connections are reset
// while their requests are still being written.
func TestEarlyAnswerThatBreaksIsNotWhole(t *testing.T) {
	for _, form := range stricttest.WithoutLength {
		t.Run(form.Name, func(t *testing.T) {
			t.Parallel()
			for _, pause := range stricttest.ResetPauses {
				for range uploadRounds {
					body, err := send(t, stricttest.Early{
						Parts: []string{form.Apply(stricttest.Answer("pa")), "rt"}, Pause: pause, Ending: stricttest.Reset,
					}, bytes.NewReader(largeBody))
					require.Error(t, err, "taken as whole after %v: %q", pause, body)
				}
			}
		})
	}
}

// pausedBody is a request of which a part is sent later than the rest.
type pausedBody struct {
	parts []string
	pause time.Duration
}

// Read implements io.Reader.
func (p *pausedBody) Read(b []byte) (int, error) {
	if len(p.parts) == 0 {
		return 0, io.EOF
	}
	n := copy(b, p.parts[0])
	p.parts = p.parts[1:]
	if len(p.parts) == 0 {
		time.Sleep(p.pause)
	}
	return n, nil
}

// TestAnswerBeforeTheRestOfARequestIsNotWhole checks an answer whose server ended between two parts
// of the request, as a process that is killed does: its connection is closed first, and reset when
// the next part arrives.
func TestAnswerBeforeTheRestOfARequestIsNotWhole(t *testing.T) {
	for _, form := range stricttest.WithoutLength {
		t.Run(form.Name, func(t *testing.T) {
			t.Parallel()
			body, err := send(t, stricttest.Early{
				Parts: []string{form.Apply(stricttest.Answer("part"))}, Pause: 10 * time.Millisecond, Ending: stricttest.Abandon,
			}, &pausedBody{parts: []string{"first", "second", "third"}, pause: 50 * time.Millisecond})
			require.Error(t, err, "taken as whole: %q", body)
		})
	}
}

// TestEarlyAnswerThatEndsInOrderIsWhole plays answers without a length that are sent before their
// requests have been read, and whose connections end in order.
func TestEarlyAnswerThatEndsInOrderIsWhole(t *testing.T) {
	for name, ending := range map[string]stricttest.Ending{"request read": stricttest.Finish, "request not read": stricttest.FinishUnread} {
		for _, form := range stricttest.WithoutLength {
			t.Run(name+"/"+form.Name, func(t *testing.T) {
				t.Parallel()
				for _, pause := range []time.Duration{0, 5 * time.Millisecond} {
					body, err := send(t, stricttest.Early{
						Parts: []string{form.Apply(stricttest.Answer("wh")), "ole"}, Pause: pause, Ending: ending,
					}, bytes.NewReader(largeBody))
					require.NoError(t, err)
					require.Equal(t, "whole", body)
				}
			})
		}
	}
}

// TestBreakThatAWriteWasToldOfIsNoEnd brings about the cause: the kernel tells the failure of a
// connection to the first system call that asks, and the next ones find an end as of an orderly one.
func TestBreakThatAWriteWasToldOfIsNoEnd(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	c := newConn(dialed)
	defer func() { _ = c.Close() }()
	server, err := listener.Accept()
	require.NoError(t, err)
	c.begin()
	_, err = io.WriteString(server, stricttest.Unsized(stricttest.Answer("part")))
	require.NoError(t, err)
	require.NoError(t, server.(*net.TCPConn).SetLinger(0))
	require.NoError(t, server.Close())
	for err == nil {
		_, err = c.Write([]byte("request"))
	}
	received, err := io.ReadAll(c)
	require.True(t, strings.HasSuffix(string(received), "part"))
	require.True(t, errorx.IsOfType(err, ErrBroken), "%v", err)
}
