package rollout

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/request"
)

func newAcceptor() (*Acceptor, *fleet) {
	f := newFleet(1, 1, 0)
	return &Acceptor{Store: f.store.View(), Control: f, Logger: slog.New(slog.DiscardHandler)}, f
}

func TestVersionsNeverDecrease(t *testing.T) {
	acceptor, f := newAcceptor()
	_, err := acceptor.Accept(t.Context(), Record{Model: "m", Version: 5, Floor: 3})
	require.NoError(t, err)
	repeated, err := acceptor.Accept(t.Context(), Record{Model: "m", Version: 5, Floor: 3})
	require.NoError(t, err)
	require.Equal(t, Record{Model: "m", Version: 5, Floor: 3}, repeated)
	_, err = acceptor.Accept(t.Context(), Record{Model: "m", Version: 4})
	require.True(t, errorx.IsOfType(err, ErrSuperseded))
	next, err := acceptor.Accept(t.Context(), Record{Model: "m", Version: 6, Floor: 1})
	require.NoError(t, err)
	require.EqualValues(t, 3, next.Floor, "the floor never decreases")
	require.EqualValues(t, 3, f.floor)
}

func TestLostStoreResponseIsResolvedByReading(t *testing.T) {
	f := newFleet(1, 1, 0)
	view := f.store.View()
	view.LoseReplies(1)
	acceptor := &Acceptor{Store: view, Control: f, Logger: slog.New(slog.DiscardHandler)}
	_, err := acceptor.Accept(t.Context(), Record{Model: "m", Version: 2})
	require.NoError(t, err)
	require.EqualValues(t, 1, view.Calls().Writes)
	require.EqualValues(t, 2, f.newest)
}

func TestNothingIsAcceptedDuringAStoreOutage(t *testing.T) {
	f := newFleet(1, 1, 0)
	view := f.store.View()
	view.SetDown(true)
	acceptor := &Acceptor{Store: view, Control: f, Logger: slog.New(slog.DiscardHandler)}
	_, err := acceptor.Accept(t.Context(), Record{Model: "m", Version: 2})
	require.True(t, errorx.IsOfType(err, ErrUnavailable))
	require.EqualValues(t, 1, f.newest)
}

func TestLoadRestoresAcceptedRollouts(t *testing.T) {
	acceptor, f := newAcceptor()
	_, err := acceptor.Accept(t.Context(), Record{Model: "m", Version: 7, Floor: 6})
	require.NoError(t, err)
	f.newest, f.floor = 1, 0
	require.NoError(t, acceptor.Load(t.Context()))
	require.EqualValues(t, 7, f.newest)
	require.EqualValues(t, 6, f.floor)
}

func TestRolloutsOverHTTP(t *testing.T) {
	acceptor, _ := newAcceptor()
	for body, want := range map[string]int{
		`{"model":"m","version":3,"floor":1}`:  http.StatusOK,
		`{"model":"m","version":0}`:            http.StatusBadRequest,
		`{"model":"a/b","version":1}`:          http.StatusBadRequest,
		`{"model":"m","version":3,"floor":4}`:  http.StatusBadRequest,
		`{"model":"m","version":3,"weight":1}`: http.StatusBadRequest,
		`{"model":"m","version":3}{}`:          http.StatusBadRequest,
		`{"model":"m"`:                         http.StatusBadRequest,
	} {
		w := httptest.NewRecorder()
		acceptor.ServeHTTP(w, httptest.NewRequest(http.MethodPost, Path, strings.NewReader(body)))
		require.Equal(t, want, w.Code, body)
		require.NotEmpty(t, w.Header().Get(request.HeaderOutcome))
	}
	w := httptest.NewRecorder()
	acceptor.ServeHTTP(w, httptest.NewRequest(http.MethodGet, Path+"/m", nil))
	var record Record
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &record))
	require.EqualValues(t, 3, record.Version)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"model":"m","version":3,"floor":1}`))
	f.Add([]byte(`{"model":"m"}{}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		record, err := decode(body)
		if err == nil && record.validate() == nil {
			require.LessOrEqual(t, record.Floor, record.Version)
		}
	})
}
