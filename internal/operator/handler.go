package operator

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/class"
	"github.com/comfreyfront/comfreyfront/internal/config"
	"github.com/comfreyfront/comfreyfront/internal/control"
)

// maxChangeSize bounds the body of a change, in bytes.
const maxChangeSize = 1 << 20

// Options configures a Handler. All fields are required.
type Options struct {
	Snapshots     *control.Snapshots
	Configuration Configuration
	Reporter      Reporter
}

// Handler serves the operators' interface.
type Handler struct {
	options Options
	mux     *http.ServeMux
}

// New returns a Handler with the given options.
func New(options Options) *Handler {
	h := &Handler{options: options, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET "+PathClasses, h.serveClasses)
	h.mux.HandleFunc("PUT "+PathClasses, h.serveChange)
	h.mux.HandleFunc("GET "+PathHistory, h.serveHistory)
	h.mux.HandleFunc("GET "+PathReport, h.serveReport)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

func (h *Handler) serveClasses(w http.ResponseWriter, _ *http.Request) {
	snapshot := h.options.Snapshots.Load()
	state := State{Revision: snapshot.Classes.Revision, Classes: string(class.Encode(snapshot.Classes))}
	if !snapshot.ConfirmedAt.IsZero() {
		state.ConfirmedAgo = time.Since(snapshot.ConfirmedAt)
	}
	for _, c := range snapshot.Classes.Precedence() {
		state.Precedence = append(state.Precedence, c.Name)
	}
	writeJSON(w, http.StatusOK, state)
}

func (h *Handler) serveChange(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxChangeSize))
	if err != nil {
		writeJSON(w, http.StatusRequestEntityTooLarge, Refusal{Reason: "the change was not received completely or is too large: " + err.Error()})
		return
	}
	var change Change
	if err := json.Unmarshal(body, &change); err != nil {
		writeJSON(w, http.StatusBadRequest, Refusal{Reason: "the body is not a valid change: " + err.Error()})
		return
	}
	document, err := class.Decode([]byte(change.Classes))
	if err != nil {
		writeJSON(w, http.StatusBadRequest, Refusal{Reason: "the class document has mistakes; nothing was stored", Mistakes: class.MistakesOf(err)})
		return
	}
	h.apply(w, r, change, document)
}

func (h *Handler) apply(w http.ResponseWriter, r *http.Request, change Change, document *class.Document) {
	result, err := h.options.Configuration.Apply(r.Context(), config.Change{
		ID: change.ID, Who: change.Who, Expect: change.Expect, Document: document,
	})
	if err != nil {
		status, refusal := refusalOf(err)
		writeJSON(w, status, refusal)
		return
	}
	writeJSON(w, http.StatusOK, Accepted{Revision: result.Entry.Revision, Changes: result.Entry.Changes, Repeated: result.Repeated})
}

func refusalOf(err error) (int, Refusal) {
	refusal := Refusal{Reason: err.Error()}
	switch {
	case errorx.IsOfType(err, config.ErrInvalid):
		return http.StatusBadRequest, refusal
	case errorx.IsOfType(err, config.ErrConflict):
		if conflict, ok := config.ConflictOf(err); ok {
			refusal.Conflict = &conflict
		}
		return http.StatusConflict, refusal
	case errorx.IsOfType(err, config.ErrUnavailable):
		return http.StatusServiceUnavailable, refusal
	default:
		refusal.Unknown = true
		return http.StatusGatewayTimeout, refusal
	}
}

func (h *Handler) serveHistory(w http.ResponseWriter, r *http.Request) {
	record, err := h.options.Configuration.History(r.Context())
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, Refusal{Reason: "the history is stored in the platform's service, which does not answer: " + err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, record.History)
}

func (h *Handler) serveReport(w http.ResponseWriter, r *http.Request) {
	if strings.Contains(r.Header.Get("Accept"), "text/html") {
		w.Header().Set("Content-Type", "text/html; charset=utf-8")
		_, _ = io.WriteString(w, h.options.Reporter.HTML())
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = io.WriteString(w, h.options.Reporter.Text())
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client may have disconnected; the error cannot be reported then.
	_ = json.NewEncoder(w).Encode(body)
}
