package traffic

import (
	"context"
	"net/http"
	"strconv"

	"github.com/comfreyfront/comfreyfront/internal/dispatch"
	"github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/request"
)

// forwardedHeaders lists the headers forwarded from a caller to a plain service.
var forwardedHeaders = []string{
	"Accept", "Accept-Language", "Authorization", "Content-Type", "If-Match", "If-None-Match",
	request.HeaderIdempotencyKey, request.HeaderClass, request.HeaderTenant,
}

// returnedHeaders lists the headers returned from a plain service to the caller.
var returnedHeaders = []string{"Cache-Control", "Content-Language", "Content-Type", "Etag", "Last-Modified", "Location"}

// serveService runs one call of a plain service.
func (s *Server) serveService(w http.ResponseWriter, r *http.Request) {
	c, body, ok := s.receive(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.options.RequestTimeout)
	defer cancel()
	answer, effort, err := s.runService(ctx, c, s.serviceRequest(c, r, body))
	if err != nil {
		s.record(c, s.fail(w, c, err), effort)
		return
	}
	writeReply(w, answer)
	s.record(c, request.Answered, effort)
}

func (s *Server) serviceRequest(c *caller, r *http.Request, body []byte) *dispatch.ServiceRequest {
	application := r.PathValue("application")
	c.serves = application
	path := "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return &dispatch.ServiceRequest{
		Call:        c.call(dispatch.FingerprintOf(application, r.Method, path, string(body))),
		Application: application,
		Send:        engine.ServiceCall{Method: r.Method, Path: path, Header: pickHeaders(r.Header, forwardedHeaders), Body: body},
	}
}

// runService runs a service request. It admits the request before claiming its key, so that
// a refused request leaves no claim.
func (s *Server) runService(ctx context.Context, c *caller, send *dispatch.ServiceRequest) (*reply, dispatch.Effort, error) {
	leave, err := s.options.Dispatcher.Admit(ctx, send)
	if err != nil {
		return nil, dispatch.Effort{}, err
	}
	run := func(ctx context.Context) (*reply, dispatch.Effort, error) {
		defer leave()
		answer, effort, err := s.options.Dispatcher.Serve(ctx, send)
		if err != nil {
			return nil, effort, err
		}
		return replyOf(answer), effort, nil
	}
	if c.key == "" {
		return run(ctx)
	}
	return s.runKeyed(ctx, c, keyedWork{scope: send.Application, content: keyedContent(send), run: run, release: leave})
}

// keyedContent returns the content that must be identical whenever a key is reused.
func keyedContent(send *dispatch.ServiceRequest) []byte {
	return append([]byte(send.Send.Method+" "+send.Send.Path+"\n"), send.Send.Body...)
}

func replyOf(answer *engine.ServiceAnswer) *reply {
	return &reply{
		status:      answer.Status,
		contentType: answer.Header.Get("Content-Type"),
		header:      pickHeaders(answer.Header, returnedHeaders),
		body:        answer.Body,
	}
}

// writeReply writes a complete answer. It sets Content-Length so that the caller can detect a
// truncated answer.
func writeReply(w http.ResponseWriter, answer *reply) {
	header := w.Header()
	for name, values := range answer.header {
		header[name] = values
	}
	if answer.contentType != "" {
		header.Set("Content-Type", answer.contentType)
	}
	if answer.replayed {
		header.Set(HeaderReplayed, "true")
	}
	header.Set(request.HeaderOutcome, string(request.Answered))
	header.Set("Content-Length", strconv.Itoa(len(answer.body)))
	w.WriteHeader(answer.status)
	// A failed write needs no handling: if the caller has disconnected, a keyed answer is
	// stored for its retry.
	_, _ = w.Write(answer.body)
}

func pickHeaders(from http.Header, names []string) http.Header {
	to := make(http.Header, len(names))
	for _, name := range names {
		if values := from.Values(name); len(values) > 0 {
			to[http.CanonicalHeaderKey(name)] = values
		}
	}
	return to
}
