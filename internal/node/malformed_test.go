package node

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/strict/stricttest"
	"github.com/comfreyfront/comfreyfront/platform/platformtest"
)

// startWithMalformed starts a node with an endpoint whose answers are malformed, in one way after
// the other, beside the usual endpoints.
func startWithMalformed(t *testing.T, service, routes string, malformations []stricttest.Malformation) (*system, *testNode, *platformtest.MalformedEndpoint) {
	t.Helper()
	s := newSystem(t)
	e := platformtest.NewMalformedEndpoint(&platformtest.MalformedEndpoint{
		RawEndpoint: platformtest.RawEndpoint{ID: "malformed-0", Service: service, Zone: "z", Slots: 8}, Malformations: malformations,
	})
	t.Cleanup(e.Close)
	s.store.Write(e.Key(), e.Record())
	s.store.Configure(1, routes)
	n := s.start("n1")
	n.awaitEndpoint(t, e.ID)
	return s, n, e
}

// requireBadGateway checks that a caller gets status 502 in place of each malformed answer.
func requireBadGateway(t *testing.T, malformations []stricttest.Malformation) {
	t.Helper()
	s, n, e := startWithMalformed(t, "held", platformtest.PatientRoute, malformations)
	for i, m := range malformations {
		t.Run(m.Name, func(t *testing.T) {
			// Equal requests whose answers break are taken for ones that crash endpoints.
			status, body := s.call(n, http.MethodPost, fmt.Sprintf("/held/%d", i), fmt.Sprintf("r-%d", i), []byte("b"))
			require.Equal(t, i+1, e.Sent())
			require.Equal(t, http.StatusBadGateway, status)
			require.NotContains(t, string(body), platformtest.MalformedText)
		})
	}
}

// requireWholeStreams checks that callers get whole streams from other endpoints.
func requireWholeStreams(t *testing.T, malformations []stricttest.Malformation) {
	t.Helper()
	s, n, e := startWithMalformed(t, "lm", platformtest.StreamRoute, malformations)
	for i := 0; e.Sent() < len(malformations); i++ {
		id := fmt.Sprintf("stream-%d", i)
		status, body := s.call(n, http.MethodPost, "/chat/x", id, []byte("b"))
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, platformtest.StreamText(id, 5), string(body))
	}
}

// requireWholeResults checks that the items of submissions are completed by other endpoints. The
// malformed answers are those to their runs, or to their scoring calls.
func requireWholeResults(t *testing.T, service string, malformations []stricttest.Malformation) {
	t.Helper()
	s, n, e := startWithMalformed(t, service, "", malformations)
	for i := 0; e.Sent() < len(malformations); i++ {
		id := fmt.Sprintf("s%d", i)
		s.submit(n, id, 8)
		s.requireComplete(s.results(n, id, 8), id, 8)
	}
}

// TestMalformedAnswersDoNotBlockRequests checks that a request is not held for one that crashes
// endpoints because the answers to equal requests were malformed.
func TestMalformedAnswersDoNotBlockRequests(t *testing.T) {
	all := slices.Concat(stricttest.StatusLines, stricttest.FieldLines, stricttest.Framings)
	for _, name := range []string{"status 000", "status in letters", "blank in a name", "two lengths", "unknown coding"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, n, e := startWithMalformed(t, "held", platformtest.PatientRoute, stricttest.Named(all, name))
			for i := range 4 {
				status, _ := s.call(n, http.MethodPost, "/held/x", fmt.Sprintf("r-%d", i), []byte("b"))
				require.Equal(t, http.StatusBadGateway, status)
			}
			sound := platformtest.NewEndpoint(&platformtest.Endpoint{ID: "held-0", Service: "held", Zone: "z"})
			t.Cleanup(sound.Close)
			s.store.Write(sound.Key(), sound.Record("ready"))
			s.store.Remove(e.Key())
			require.Eventually(t, func() bool {
				endpoints := n.node.directory.Of("held")
				return len(endpoints) == 1 && endpoints[0].ID == "held-0"
			}, waitLimit, pollInterval)
			status, body := s.call(n, http.MethodPost, "/held/x", "last", []byte("b"))
			require.Equal(t, http.StatusOK, status, "%s", body)
		})
	}
}

// requireSoundAnswers checks what reaches callers of each kind of work beside an endpoint with the
// given malformations, of which the named ones are played for work that goes to other endpoints too.
func requireSoundAnswers(t *testing.T, malformations []stricttest.Malformation, names ...string) {
	t.Helper()
	few := stricttest.Named(malformations, names...)
	require.Len(t, few, len(names))
	checks := map[string]func(*testing.T){
		"requests":      func(t *testing.T) { requireBadGateway(t, malformations) },
		"streams":       func(t *testing.T) { requireWholeStreams(t, few) },
		"runs":          func(t *testing.T) { requireWholeResults(t, "lm", few) },
		"scoring calls": func(t *testing.T) { requireWholeResults(t, "app", few) },
	}
	for name, check := range checks {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			check(t)
		})
	}
}

// TestCallersGetNoMalformedStatus checks that the status line of an endpoint in trouble is not
// taken for that of an answer.
func TestCallersGetNoMalformedStatus(t *testing.T) {
	requireSoundAnswers(t, stricttest.StatusLines, "status 000", "status 600", "later major version")
}

// TestCallersGetNoMalformedFields checks that an answer in whose head a line is malformed is not
// taken for an answer, with or without that line.
func TestCallersGetNoMalformedFields(t *testing.T) {
	requireSoundAnswers(t, stricttest.FieldLines, "blank in a name", "control byte in a value", "blank after the name of the length")
}

// TestCallersGetNoMalformedFraming checks that a body whose end is not told in a valid way is not
// taken for a whole one.
func TestCallersGetNoMalformedFraming(t *testing.T) {
	requireSoundAnswers(t, stricttest.Framings, "chunks in an earlier version", "two lengths", "unknown coding")
}

// TestCallersGetNoAnswerWhoseHeadIsCut checks that an answer that ends in its head is not taken for a
// whole one with a short or empty body.
func TestCallersGetNoAnswerWhoseHeadIsCut(t *testing.T) {
	requireSoundAnswers(t, stricttest.Cuts, "after the status line", "after the last line", "after the last line, without a length")
}
