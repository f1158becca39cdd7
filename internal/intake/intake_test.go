package intake

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
)

// newIntake returns an intake whose clock stands still until it is moved.
func newIntake(limits Limits) (*Intake, func(time.Duration)) {
	in := New(limits, slog.New(slog.DiscardHandler), prometheus.NewRegistry())
	var mu sync.Mutex
	now := time.Unix(1000, 0)
	in.now = func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		return now
	}
	return in, func(d time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		now = now.Add(d)
	}
}

// pipeConn is one end of a pipe with an address of its own.
type pipeConn struct {
	net.Conn
	address string
}

func (p pipeConn) RemoteAddr() net.Addr { return pipeAddr(p.address) }

type pipeAddr string

func (a pipeAddr) Network() string { return "tcp" }
func (a pipeAddr) String() string  { return string(a) }

// admit returns a connection from a client address and the client's end, or false.
func admit(t *testing.T, in *Intake, address string) (*Conn, net.Conn, bool) {
	t.Helper()
	server, client := net.Pipe()
	t.Cleanup(func() { _ = server.Close(); _ = client.Close() })
	conn, ok := in.Admit(pipeConn{Conn: server, address: address})
	return conn, client, ok
}

// isClosed reports whether the process closed the connection of a client.
func isClosed(client net.Conn) bool {
	_ = client.SetReadDeadline(time.Unix(1, 0))
	_, err := client.Read(make([]byte, 1))
	return err == io.EOF
}

// active returns a connection on which a request is served, with its memory.
func active(t *testing.T, in *Intake) (*Conn, net.Conn, *Hold) {
	t.Helper()
	conn, client, ok := admit(t, in, "10.0.0.1:1")
	require.True(t, ok)
	conn.onState(http.StateActive)
	return conn, client, conn.hold.Load()
}

func TestNewConnectionTakesThePlaceOfTheLatest(t *testing.T) {
	in, pass := newIntake(Limits{Connections: 3})
	served, _, _ := active(t, in)
	_, waits, _ := admit(t, in, "10.0.0.1:2")
	pass(minLateness)
	_, later, _ := admit(t, in, "10.0.0.1:3")
	_, _, ok := admit(t, in, "10.0.0.1:4")
	require.True(t, ok)
	require.True(t, isClosed(waits), "the one that waits longest for its head")
	require.False(t, isClosed(later))
	_, _, ok = admit(t, in, "10.0.0.1:5")
	require.False(t, ok, "no caller is late")
	require.Equal(t, 3, in.Connections())
	require.Contains(t, in.conns, served, "a request that is being served is kept")
}

func TestConnectionsOfOneClientAreBounded(t *testing.T) {
	in, _ := newIntake(Limits{ClientConnections: 1})
	conn, _, ok := admit(t, in, "10.0.0.1:1")
	require.True(t, ok)
	_, _, ok = admit(t, in, "10.0.0.1:2")
	require.False(t, ok)
	_, _, ok = admit(t, in, "10.0.0.2:1")
	require.True(t, ok, "another client")
	require.NoError(t, conn.Close())
	_, _, ok = admit(t, in, "10.0.0.1:3")
	require.True(t, ok, "its connection was closed")
}

func TestMemoryIsTakenFromTheLatestCaller(t *testing.T) {
	const memory = 1 << 20
	in, pass := newIntake(Limits{Memory: memory})
	ctx := context.Background()
	slow, slowClient, slowHold := active(t, in)
	fast, fastClient, fastHold := active(t, in)
	for _, conn := range []*Conn{slow, fast} {
		conn.begin(receiving)
	}
	require.NoError(t, slowHold.Take(ctx, memory/2))
	require.NoError(t, fastHold.Take(ctx, memory/2))
	pass(time.Second)
	fast.bodyBytes.Store(referenceRate)
	_, _, hold := active(t, in)
	taken := make(chan error)
	go func() { taken <- hold.Take(ctx, memory/4) }()
	require.Eventually(t, func() bool { return slowHold.isEvicting() }, 10*time.Second, time.Millisecond)
	require.True(t, isClosed(slowClient), "the caller that sent least")
	slow.onState(http.StateClosed)
	require.NoError(t, <-taken)
	require.False(t, isClosed(fastClient))
	require.EqualValues(t, memory*3/4, in.Used())
	fast.onState(http.StateClosed)
	hold.Release()
	require.Zero(t, in.Used())
	require.Zero(t, in.evicting.Load())
}

func TestMemoryOfServedRequestsIsNotTaken(t *testing.T) {
	in, pass := newIntake(Limits{Memory: 1 << 20})
	_, client, served := active(t, in)
	require.NoError(t, served.Take(context.Background(), 1<<20))
	pass(time.Hour)
	_, _, hold := active(t, in)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.True(t, errorx.IsOfType(hold.Take(ctx, 1<<19), ErrShort))
	require.False(t, isClosed(client))
	require.NoError(t, hold.Take(ctx, smallHold), "small requests have a reserve")
}

func TestLoneRequestMayExceedTheMemory(t *testing.T) {
	in, _ := newIntake(Limits{Memory: 1 << 20})
	_, _, hold := active(t, in)
	require.NoError(t, hold.Take(context.Background(), 2<<20))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.Error(t, hold.Take(ctx, 1))
}

func TestRetainedMemoryOutlastsItsConnection(t *testing.T) {
	in, _ := newIntake(Limits{})
	conn, _, hold := active(t, in)
	require.NoError(t, hold.Take(context.Background(), 100))
	hold.Retain()
	conn.onState(http.StateClosed)
	require.EqualValues(t, 100, in.Used())
	hold.Release()
	require.Zero(t, in.Used())
}

func TestUnreadAnswerEndsItsConnection(t *testing.T) {
	in := New(Limits{WriteStall: time.Millisecond}, slog.New(slog.DiscardHandler), prometheus.NewRegistry())
	conn, _, _ := active(t, in)
	_, err := conn.Write(make([]byte, 10))
	require.Error(t, err)
	require.Zero(t, in.Connections())
}

// start starts a server within an intake.
func start(t *testing.T, in *Intake, handler http.Handler) *httptest.Server {
	t.Helper()
	server := httptest.NewUnstartedServer(handler)
	Track(server.Config, ConnOf)
	server.Listener = in.Listener(server.Listener)
	server.Start()
	t.Cleanup(server.Close)
	return server
}

// talk sends bytes to a server on a connection of their own, and returns what comes back until its end.
func talk(t *testing.T, server *httptest.Server, sent string) (string, error) {
	t.Helper()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, sent)
	require.NoError(t, err)
	answer, err := io.ReadAll(conn)
	return string(answer), err
}

// serve starts a server within an intake that reads bodies and returns their sizes.
func serve(t *testing.T, in *Intake, limits BodyLimits) *httptest.Server {
	t.Helper()
	return start(t, in, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(w, r, limits)
		if err != nil {
			w.Header().Set("Connection", "close")
			http.Error(w, errorx.Cast(err).Type().FullName(), http.StatusRequestTimeout)
			return
		}
		_, _ = w.Write(body)
	}))
}

func TestBodiesOfAllSizesArriveAndGiveTheirMemoryBack(t *testing.T) {
	const limit = 1 << 20
	in := New(Limits{Memory: 4 << 20}, slog.New(slog.DiscardHandler), prometheus.NewRegistry())
	server := serve(t, in, BodyLimits{Size: limit})
	for _, size := range []int{0, 1, firstBuffer - 1, firstBuffer, firstBuffer + 1, 5 * firstBuffer, limit - 1, limit} {
		content := bytes.Repeat([]byte("abc"), size/3+1)[:size]
		for _, body := range []io.Reader{bytes.NewReader(content), io.MultiReader(bytes.NewReader(content))} { // the second one in chunks
			answer, err := server.Client().Post(server.URL, "", body)
			require.NoError(t, err)
			received, err := io.ReadAll(answer.Body)
			require.NoError(t, err)
			require.True(t, bytes.Equal(content, received), "%d bytes", size)
		}
	}
	for _, body := range []io.Reader{bytes.NewReader(make([]byte, limit+1)), io.MultiReader(bytes.NewReader(make([]byte, limit+1)))} {
		answer, err := server.Client().Post(server.URL, "", body)
		require.NoError(t, err)
		text, _ := io.ReadAll(answer.Body)
		require.Contains(t, string(text), "too_large")
	}
	require.Eventually(t, func() bool { return in.Used() == 0 }, 10*time.Second, time.Millisecond)
}

func TestBadBodiesAreRefused(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: h\r\n"
	for name, test := range map[string]struct {
		limits Limits
		sent   string
		want   string
	}{
		"never sent": {Limits{BodyGrace: time.Millisecond}, head + "Content-Length: 9\r\n\r\n", "slow"},
		"trickles":   {Limits{BodyGrace: time.Millisecond, BodyRate: 1 << 20}, head + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n", "slow"},
		"thin":       {Limits{}, head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", freeOverhead), "thin"},
	} {
		t.Run(name, func(t *testing.T) {
			server := serve(t, New(test.limits, slog.New(slog.DiscardHandler), prometheus.NewRegistry()), BodyLimits{Size: 8 << 20})
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			require.NoError(t, err)
			defer conn.Close()
			go func() { _, _ = io.WriteString(conn, test.sent) }()
			answer, _ := io.ReadAll(conn)
			require.Contains(t, string(answer), test.want)
		})
	}
}

func TestRestOfAnUnreadBodyIsNotAwaited(t *testing.T) {
	in := New(Limits{}, slog.New(slog.DiscardHandler), prometheus.NewRegistry())
	server := start(t, in, http.NotFoundHandler())
	answer, err := talk(t, server, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n")
	require.NoError(t, err)
	require.Contains(t, answer, "404")
}

// TestAnswerWithoutALengthThatBreaksOffIsReset checks that a caller of HTTP/1.0 can tell a whole
// answer, which ends with its connection, from one that broke off.
func TestAnswerWithoutALengthThatBreaksOffIsReset(t *testing.T) {
	for name, row := range map[string]struct {
		end    func(server *httptest.Server)
		broken bool
	}{
		"whole":         {func(*httptest.Server) {}, false},
		"aborted":       {func(*httptest.Server) { panic(http.ErrAbortHandler) }, true},
		"server closed": {func(server *httptest.Server) { _ = server.Config.Close() }, true},
	} {
		t.Run(name, func(t *testing.T) {
			in := New(Limits{}, slog.New(slog.DiscardHandler), prometheus.NewRegistry())
			var server *httptest.Server
			server = start(t, in, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "answer")
				_ = http.NewResponseController(w).Flush()
				row.end(server)
			}))
			answer, err := talk(t, server, "GET / HTTP/1.0\r\n\r\n")
			require.Equal(t, row.broken, err != nil, "%q", answer)
			require.Contains(t, answer, "answer")
		})
	}
}

func TestDerivedLimits(t *testing.T) {
	for _, test := range []struct {
		memoryMB     int64
		files        int
		wantMemoryMB int64
		least, most  int
	}{
		{144, 3075, 36, 400, 862},
		{536, 10250, 134, 1500, 3015},
		{96, 400, 24, 90, 90},
		{0, 0, 256, defaultConnections, defaultConnections},
	} {
		limits := Derive(test.memoryMB<<20, test.files)
		require.Equal(t, test.wantMemoryMB<<20, limits.Memory)
		require.GreaterOrEqual(t, limits.Connections, test.least)
		require.LessOrEqual(t, limits.Connections, test.most)
	}
}

// BenchmarkRequest measures what the bounds cost a request without a body on a connection that is
// used again.
func BenchmarkRequest(b *testing.B) {
	in := New(Limits{}, slog.New(slog.DiscardHandler), prometheus.NewRegistry())
	server, client := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, client) }()
	conn, _ := in.Admit(server)
	defer conn.Close()
	b.ReportAllocs()
	for b.Loop() {
		conn.onState(http.StateActive)
		if err := conn.hold.Load().Take(context.Background(), firstBuffer); err != nil {
			b.Fatal(err)
		}
		conn.onState(http.StateIdle)
	}
}

// BenchmarkWrite measures a write of an answer, with the bounds and without.
func BenchmarkWrite(b *testing.B) {
	in := New(Limits{}, slog.New(slog.DiscardHandler), prometheus.NewRegistry())
	for _, bounded := range []bool{true, false} {
		b.Run(map[bool]string{true: "bounded", false: "plain"}[bounded], func(b *testing.B) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(b, err)
			defer listener.Close()
			client, err := net.Dial("tcp", listener.Addr().String())
			require.NoError(b, err)
			go func() { _, _ = io.Copy(io.Discard, client) }()
			conn, err := listener.Accept()
			require.NoError(b, err)
			if bounded {
				conn, _ = in.Admit(conn)
			}
			defer conn.Close()
			content := make([]byte, 800)
			for b.Loop() {
				_, _ = conn.Write(content)
			}
		})
	}
}

// TestWorkWithoutACallerHasMemoryToo checks that the memory of work that no caller waits for counts,
// that it is refused if there is none, and that later callers make room for it.
func TestWorkWithoutACallerHasMemoryToo(t *testing.T) {
	const memory = 1 << 20
	in, pass := newIntake(Limits{Memory: memory})
	ctx, release := in.WithHold(t.Context())
	require.NoError(t, HoldOf(ctx).Take(ctx, memory))
	require.EqualValues(t, memory, in.Used())
	second, releaseSecond := in.WithHold(t.Context())
	ended, cancel := context.WithCancel(second)
	cancel()
	require.True(t, errorx.IsOfType(HoldOf(second).Take(ended, memory), ErrShort))
	release()
	require.Zero(t, in.Used())

	slow, client, slowHold := active(t, in)
	slow.begin(receiving)
	require.NoError(t, slowHold.Take(t.Context(), memory))
	pass(time.Second)
	taken := make(chan error)
	go func() { taken <- HoldOf(second).Take(second, memory) }()
	require.Eventually(t, func() bool { return isClosed(client) }, 10*time.Second, time.Millisecond)
	slow.onState(http.StateClosed)
	require.NoError(t, <-taken)
	releaseSecond()
	require.Zero(t, in.Used())
}
