package strict

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/strict/stricttest"
)

// get sends a request to a server that sends the given bytes, and returns the body of the answer.
func get(t *testing.T, answer string) (*http.Response, string, error) {
	t.Helper()
	server := stricttest.NewServer(func(*http.Request) string { return answer })
	defer server.Close()
	transport := NewTransport(&http.Transport{})
	defer transport.CloseIdleConnections()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+server.Address(), strings.NewReader("b"))
	require.NoError(t, err)
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// TestUnusualAnswersAreTaken lists answers that are well-formed, or that RFC 9112 lets a recipient
// take.
func TestUnusualAnswersAreTaken(t *testing.T) {
	const fields = "Content-Length: 2\r\n\r\nok"
	for name, row := range map[string]struct {
		answer string
		status int
	}{
		"plain":                    {"HTTP/1.1 200 OK\r\n" + fields, 200},
		"highest status":           {"HTTP/1.1 599 Odd\r\n" + fields, 599},
		"unknown status":           {"HTTP/1.1 299 Odd\r\n" + fields, 299},
		"empty reason":             {"HTTP/1.1 200 \r\n" + fields, 200},
		"no reason":                {"HTTP/1.1 200\r\n" + fields, 200},
		"two blanks":               {"HTTP/1.1  200 OK\r\n" + fields, 200},
		"reason in another script": {"HTTP/1.1 200 Entt\xe4uscht\t!\r\n" + fields, 200},
		"earlier minor version":    {"HTTP/1.0 200 OK\r\n" + fields, 200},
		"later minor version":      {"HTTP/1.2 200 OK\r\n" + fields, 200},
		"line feeds only":          {"HTTP/1.1 200 OK\nContent-Length: 2\n\nok", 200},
		"interim answers":          {"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + fields, 200},
		"continued field":          {"HTTP/1.1 200 OK\r\nA: b\r\n\t c\r\n \r\n" + fields, 200},
		"field without a value":    {"HTTP/1.1 200 OK\r\nA:\r\n" + fields, 200},
		"value in another script":  {"HTTP/1.1 200 OK\r\nA: \xe4\t\xff\r\n" + fields, 200},
		"all bytes of a name":      {"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ:b\r\n" + fields, 200},
		"no length":                {"HTTP/1.1 200 OK\r\n\r\nok", 200},
		"chunks":                   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 200},
	} {
		t.Run(name, func(t *testing.T) {
			response, body, err := get(t, row.answer)
			require.NoError(t, err)
			require.Equal(t, row.status, response.StatusCode)
			require.Equal(t, "ok", body)
		})
	}
}

var malformations = slices.Concat(stricttest.StatusLines, stricttest.FieldLines)

// TestMalformedInterimAnswers checks the heads that come before the answer itself.
func TestMalformedInterimAnswers(t *testing.T) {
	for _, m := range malformations {
		_, _, err := get(t, "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"+m.Apply(stricttest.Answer("ok")))
		require.True(t, errorx.IsOfType(err, ErrMalformed), "%s: %v", m.Name, err)
	}
}

// TestErrorSaysWhatIsMalformed checks that the cause reaches the log, in a bounded form.
func TestErrorSaysWhatIsMalformed(t *testing.T) {
	_, _, err := get(t, "HTTP/1.1 000 "+strings.Repeat("x", 1000)+"\r\n\r\n")
	require.ErrorContains(t, err, `malformed status line "HTTP/1.1 000 xxx`)
	require.Less(t, len(err.Error()), 200)
}

// TestHeadInPieces sends each byte of a head by itself.
func TestHeadInPieces(t *testing.T) {
	feed := func(answer string) (h head, err error) {
		h.stage = awaitingStatus
		for i := range len(answer) {
			if err := h.add([]byte{answer[i]}); err != nil {
				return h, err
			}
		}
		return h, nil
	}
	h, err := feed("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + stricttest.Answer("\x00\x01"))
	require.NoError(t, err)
	require.Equal(t, complete, h.stage)
	for _, m := range malformations {
		_, err := feed(m.Apply(stricttest.Answer("ok")))
		require.Error(t, err, m.Name)
	}
}

// TestKeptConnectionChecksEachAnswer sends a sound answer and then a malformed one on the same
// connection.
func TestKeptConnectionChecksEachAnswer(t *testing.T) {
	ours, theirs := net.Pipe()
	c := newConn(ours)
	buffer := make([]byte, 1024)
	read := func(sent string) error {
		go func() { _, _ = io.WriteString(theirs, sent) }()
		_, err := c.Read(buffer)
		return err
	}
	first := c.begin()
	require.NoError(t, read(stricttest.Answer("HTTP/1.1 000 is a body")))
	require.True(t, first.headArrived())
	require.NoError(t, read("\x00 bytes beyond the answer"))
	second := c.begin()
	require.True(t, first.headArrived())
	require.False(t, second.headArrived())
	require.Error(t, read("HTTP/1.1 000 OK\r\n\r\n"))
	require.True(t, errorx.IsOfType(second.cause(io.EOF), ErrMalformed))
}

// TestAnswerBeforeItsRequestIsNone checks that bytes which a server sends before it has a request
// are not taken for the answer to the next one.
func TestAnswerBeforeItsRequestIsNone(t *testing.T) {
	c := newConn(nil)
	require.NoError(t, c.current.head.add([]byte(stricttest.Answer("early"))))
	require.False(t, c.begin().headArrived())
}

// TestAnswerWhoseConnectionIsReusedIsTaken sends a request on the connection of a previous one as
// soon as net/http allows it: an answer without a body gives its connection back before the answer
// itself is returned.
func TestAnswerWhoseConnectionIsReusedIsTaken(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusNoContent, http.StatusNotFound} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
			defer server.Close()
			transport := NewTransport(&http.Transport{})
			defer transport.CloseIdleConnections()
			send := func(trace *httptrace.ClientTrace) error {
				ctx := httptrace.WithClientTrace(t.Context(), trace)
				request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, strings.NewReader("b"))
				require.NoError(t, err)
				response, err := transport.RoundTrip(request)
				if err != nil {
					return err
				}
				return response.Body.Close()
			}
			next, reused := make(chan error, 1), make(chan bool, 1)
			require.NoError(t, send(&httptrace.ClientTrace{PutIdleConn: func(error) {
				go func() {
					next <- send(&httptrace.ClientTrace{GotConn: func(got httptrace.GotConnInfo) { reused <- got.Reused }})
				}()
				require.True(t, <-reused)
			}}))
			require.NoError(t, <-next)
		})
	}
}

// TestHeadWithoutEndIsBounded checks that a transport without a bound of its own has one.
func TestHeadWithoutEndIsBounded(t *testing.T) {
	_, _, err := get(t, stricttest.Answer("ok", "A: "+strings.Repeat("a", 2*defaultHeadBytes)))
	require.Error(t, err)
}

// FuzzHead checks that a head is judged in the same way however it is cut into pieces.
func FuzzHead(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody", 3)
	for _, m := range malformations {
		f.Add(m.Apply(stricttest.Answer("ok")), 7)
	}
	f.Fuzz(func(t *testing.T, answer string, cut int) {
		cut = min(max(cut, 0), len(answer))
		whole, pieces := head{stage: awaitingStatus}, head{stage: awaitingStatus}
		wholeErr := whole.add([]byte(answer))
		piecesErr := pieces.add([]byte(answer[:cut]))
		if piecesErr == nil {
			piecesErr = pieces.add([]byte(answer[cut:]))
		}
		require.Equal(t, wholeErr == nil, piecesErr == nil)
		if wholeErr == nil {
			require.Equal(t, whole.stage, pieces.stage)
		}
	})
}

// BenchmarkExchange measures what the check adds to an exchange.
func BenchmarkExchange(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	for name, transport := range map[string]http.RoundTripper{"net/http": &http.Transport{}, "strict": NewTransport(&http.Transport{})} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				request, err := http.NewRequestWithContext(b.Context(), http.MethodGet, "http://"+listener.Addr().String(), nil)
				require.NoError(b, err)
				response, err := transport.RoundTrip(request)
				require.NoError(b, err)
				_, err = io.Copy(io.Discard, response.Body)
				require.NoError(b, err)
			}
		})
	}
}

// TestMalformedFieldOfAnInterimAnswer checks that the fields of a head that comes before the answer
// are checked too.
func TestMalformedFieldOfAnInterimAnswer(t *testing.T) {
	_, _, err := get(t, "HTTP/1.1 103 Early Hints\r\nX Link: a\r\n\r\n"+stricttest.Answer("ok"))
	require.True(t, errorx.IsOfType(err, ErrMalformed), "%v", err)
}
