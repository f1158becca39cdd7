package node

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/explain"
	"github.com/comfreyfront/comfreyfront/internal/metastore"
	"github.com/comfreyfront/comfreyfront/internal/operator"
	"github.com/comfreyfront/comfreyfront/platform/platformtest"
)

// Keys of the test accounts. No key may occur outside a caller's request.
const (
	keyA, keyA2, keyB = "secret-a", "secret-a2", "secret-b"
	keyPrefix         = "secret-"
)

func intPointer(n int) *int { return &n }

// accountsOf returns the account "a" with the given keys and "b" with its own.
func accountsOf(keysOfA ...string) []platformtest.Account {
	return []platformtest.Account{
		{Name: "a", Keys: keysOfA, Priority: intPointer(3)},
		{Name: "b", Keys: []string{keyB}, Priority: intPointer(12)},
	}
}

// logBuffer collects log lines.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// newAccountSystem starts nodes under a configuration with accounts. All log lines of the
// nodes go to the buffer.
func newAccountSystem(t *testing.T, nodes int) (*system, *logBuffer) {
	t.Helper()
	s := newSystem(t)
	logs := &logBuffer{}
	s.logger = slog.New(slog.NewTextHandler(logs, &slog.HandlerOptions{Level: slog.LevelDebug}))
	s.store.ConfigureAccounts(1, accountsOf(keyA)...)
	for i := range nodes {
		s.start(fmt.Sprintf("n%d", i+1))
	}
	return s, logs
}

// requireVersion waits until all nodes follow a version of the configuration.
func (s *system) requireVersion(version int64) {
	s.t.Helper()
	for _, n := range s.nodes {
		require.Eventually(s.t, func() bool { return n.node.routes.Load().Version == version }, waitLimit, pollInterval)
	}
}

// requireNoKey checks that no key is in the store, apart from the configuration, or in the
// log lines.
func (s *system) requireNoKey(logs *logBuffer) {
	s.t.Helper()
	items, _, err := metastore.ListAll(context.Background(), s.store, "")
	require.NoError(s.t, err)
	for _, item := range items {
		if item.Key != platformtest.ConfigurationKey {
			require.NotContains(s.t, string(item.Value), keyPrefix, item.Key)
			require.NotContains(s.t, string(item.Value), "inner", item.Key)
		}
	}
	require.NotContains(s.t, logs.String(), keyPrefix)
}

func TestRequestsNeedAKey(t *testing.T) {
	s, logs := newAccountSystem(t, 1)
	n := s.nodes["n1"]
	for i, row := range []struct {
		key, path string
		status    int
		account   string
	}{
		{keyA, "/lookup/x", http.StatusOK, "a"},
		{keyB, "/lookup/x", http.StatusOK, "b"},
		{"", "/lookup/x", http.StatusUnauthorized, ""},
		{"secret-unknown", "/lookup/x", http.StatusUnauthorized, ""},
		{"", "/public/x", http.StatusOK, ""},
		{"secret-unknown", "/public/x", http.StatusOK, ""},
		{keyA, "/public/x", http.StatusOK, "a"},
		{keyA, "/none/x", http.StatusNotFound, ""},
		{"", "/none/x", http.StatusNotFound, ""},
	} {
		id := fmt.Sprintf("r%d", i)
		status, content := s.callAs(n, row.key, "POST", row.path, id, []byte("b"))
		require.Equal(t, row.status, status, id)
		require.NotContains(t, string(content), keyPrefix)
		sent := s.plain.Sent(id)
		if row.status != http.StatusOK {
			require.Empty(t, sent, id)
			continue
		}
		require.Equal(t, []platformtest.Sent{{Account: row.account}}, sent, "a plain service gets no priority and no key")
	}
	s.requireNoKey(logs)
	var timeline strings.Builder
	_, err := explain.Timeline("r2", strings.NewReader(logs.String()), &timeline)
	require.NoError(t, err)
	require.Contains(t, timeline.String(), "refused for its key")
	require.Contains(t, timeline.String(), "the request has no key")
}

// TestUnsureNodeRefusesKeyedRequests checks that a node that cannot be sure which keys are
// valid asks callers to come back, also those whose key it does not know, and that it goes
// on serving public requests.
func TestUnsureNodeRefusesKeyedRequests(t *testing.T) {
	s, _ := newAccountSystem(t, 0)
	s.prepare = func(n *Node) { n.keysCertain = func() bool { return false } }
	n := s.start("n1")
	for i, row := range []struct {
		key, method, path string
		status            int
	}{
		{keyA, "POST", "/lookup/x", http.StatusServiceUnavailable},
		{"secret-unknown", "POST", "/lookup/x", http.StatusServiceUnavailable},
		{"", "POST", "/lookup/x", http.StatusUnauthorized},
		{keyA, "GET", platformtest.ResultsPath("any"), http.StatusServiceUnavailable},
		{"", "POST", "/public/x", http.StatusOK},
	} {
		id := fmt.Sprintf("r%d", i)
		request, err := platformtest.Request(row.method, n.address, row.path, id, nil)
		require.NoError(t, err)
		if row.key != "" {
			platformtest.SetKey(request, row.key)
		}
		response, err := s.client.Do(request)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, row.status, response.StatusCode, id)
		require.Equal(t, row.status == http.StatusServiceUnavailable, response.Header.Get("Retry-After") != "", id)
		require.Equal(t, row.status == http.StatusOK, len(s.plain.Sent(id)) > 0, id)
	}
}

// TestSubmissionBelongsToItsAccount checks who may use a submission, while keys are added and
// withdrawn and its owner leaves, and what the engines are told.
func TestSubmissionBelongsToItsAccount(t *testing.T) {
	s, logs := newAccountSystem(t, 2)
	name, owner := s.owner()
	other := s.nodes["n1"]
	if name == "n1" {
		other = s.nodes["n2"]
	}
	const items = 12
	submission := platformtest.SubmissionNamingAccounts("sub", items)
	submit := func(key string) int {
		status, _ := s.callAs(other, key, "POST", "/draft/sub", "sub", submission)
		return status
	}
	require.Equal(t, http.StatusUnauthorized, submit(""))
	require.Equal(t, http.StatusAccepted, submit(keyA))
	require.Equal(t, http.StatusAccepted, submit(keyA), "a resend is accepted again")
	require.Equal(t, http.StatusConflict, submit(keyB))
	s.store.ConfigureAccounts(2, accountsOf(keyA2)...) // the submission's key is withdrawn
	s.requireVersion(2)
	owner.cancel() // the units are handed over with the texts
	require.Eventually(t, func() bool {
		status, content := s.callAs(other, keyA2, "GET", platformtest.ResultsPath("sub")+"?after=0", "", nil)
		page, err := platformtest.DecodePage(content)
		return status == http.StatusOK && err == nil && page.Next == items
	}, waitLimit, pollInterval)
	for _, row := range []struct {
		key    string
		status int
	}{{"", http.StatusUnauthorized}, {keyA, http.StatusUnauthorized}, {keyB, http.StatusNotFound}, {keyA2, http.StatusOK}} {
		for _, call := range [][2]string{
			{"GET", platformtest.ResultsPath("sub")}, {"GET", platformtest.BodyPath("sub", "sub-0")}, {"DELETE", platformtest.ResultsPath("sub")},
		} {
			status, content := s.callAs(other, row.key, call[0], call[1], "", nil)
			require.Equal(t, row.status, status, "%s %s with %q", call[0], call[1], row.key)
			if row.key == keyB {
				_, unknown := s.callAs(other, row.key, call[0], strings.Replace(call[1], "sub", "none", 1), "", nil)
				require.Equal(t, strings.ReplaceAll(string(unknown), "none", "sub"), string(content), "the answer is that for a submission that does not exist")
			}
		}
	}
	for i := range items {
		item := fmt.Sprintf("sub-%d", i)
		runs := 0
		for _, engine := range s.engines {
			for _, sent := range engine.Sent(item) {
				require.Equal(t, platformtest.Sent{Account: "a", Priority: "3"}, sent, item)
				runs++
			}
		}
		require.Positive(t, runs, item)
		for _, sent := range s.plain.Sent("s-" + item) {
			require.Equal(t, platformtest.Sent{}, sent, "a scoring call has no account")
		}
	}
	s.requireNoKey(logs)
}

// TestItemsOfAccountsAreKeptApart checks that two accounts may use the same IDs for their
// items.
func TestItemsOfAccountsAreKeptApart(t *testing.T) {
	s, _ := newAccountSystem(t, 1)
	n := s.nodes["n1"]
	const items = 4
	body := platformtest.Submission("same", items)
	for id, key := range map[string]string{"of-a": keyA, "of-b": keyB} {
		require.Eventually(t, func() bool {
			status, _ := s.callAs(n, key, "POST", "/draft/x", id, body)
			return status == http.StatusAccepted
		}, waitLimit, pollInterval)
	}
	for id, key := range map[string]string{"of-a": keyA, "of-b": keyB} {
		require.Eventually(t, func() bool {
			_, content := s.callAs(n, key, "GET", platformtest.ResultsPath(id), "", nil)
			page, err := platformtest.DecodePage(content)
			return err == nil && page.Next == items
		}, waitLimit, pollInterval)
	}
	accounts := map[string]int{}
	for _, engine := range s.engines {
		for _, sent := range engine.Sent("same-0") {
			accounts[sent.Account+sent.Priority]++
		}
	}
	require.Equal(t, map[string]int{"a3": 1, "b9": 1}, accounts, "a priority beyond those of engines is the least urgent one")
}

// TestBadAccountsLeaveTheVersionInForce checks that a configuration with invalid accounts is
// skipped with a cause that names the entry and no key.
func TestBadAccountsLeaveTheVersionInForce(t *testing.T) {
	s, logs := newAccountSystem(t, 1)
	n := s.nodes["n1"]
	for i, row := range []struct{ accounts, cause string }{
		{`[{"name":"a","api_keys":["secret-1"]},{"name":"a","api_keys":["secret-2"]}]`, `account \"a\" occurs twice`},
		{`[{"name":"a","api_keys":["secret-1"]},{"name":"c","api_keys":["x","secret-1"]}]`, `account \"c\": key 1 is also a key of account \"a\"`},
		{`[{"name":"a","api_keys":[""]}]`, `account \"a\": key 0 is empty`},
		{`[{"name":"","api_keys":["secret-1"]}]`, `account 0 has no name`},
		{`[{"name":"a\r\nb"}]`, `account 0: the name`},
		{`[{"name":"a"},null]`, `account 1 has no name`},
		{`null`, `tenants: null instead of a list`},
		{`"a"`, `tenants`},
		{`{"a":["secret-1"]}`, `tenants`},
		{`[{"name":"a","api_keys":"secret-1"}]`, `tenants[0] (\"a\")`},
		{`[{"name":"a"},{"name":"b","api_keys":[7]}]`, `tenants[1] (\"b\")`},
		{`[{"name":"a","priority":"high"}]`, `tenants[0] (\"a\")`},
	} {
		s.store.ConfigureRawAccounts(10+i, row.accounts)
		escaped := strings.ReplaceAll(row.cause, `\"`, `\\\"`)
		require.Eventually(t, func() bool {
			return strings.Contains(logs.String(), row.cause) || strings.Contains(logs.String(), escaped)
		}, waitLimit, pollInterval, "%s in %s", row.cause, row.accounts)
		require.EqualValues(t, 1, n.node.routes.Load().Version, row.accounts)
		status, _ := s.callAs(n, keyA, "POST", "/lookup/x", fmt.Sprintf("bad-%d", i), nil)
		require.Equal(t, http.StatusOK, status)
	}
	var many []platformtest.Account
	for i := range 100 {
		many = append(many, platformtest.Account{Name: fmt.Sprint("account-", i)})
		for k := range 100 {
			many[i].Keys = append(many[i].Keys, fmt.Sprintf("%s%d-%d", keyPrefix, i, k))
		}
	}
	s.store.ConfigureAccounts(100, many...)
	s.requireVersion(100)
	status, _ := s.callAs(n, keyPrefix+"99-99", "POST", "/lookup/x", "many", nil)
	require.Equal(t, http.StatusOK, status)
	s.store.ConfigureAccounts(101)
	s.requireVersion(101)
	status, _ = s.callAs(n, keyPrefix+"99-99", "POST", "/lookup/x", "empty", nil)
	require.Equal(t, http.StatusUnauthorized, status, "an empty list admits nobody")
	s.store.Configure(102, "")
	s.requireVersion(102)
	status, _ = s.call(n, "POST", "/lookup/x", "absent", nil)
	require.Equal(t, http.StatusOK, status)
	s.requireNoKey(logs)
}

// TestAccountReportCoversAllNodes checks what an operator sees of one account.
func TestAccountReportCoversAllNodes(t *testing.T) {
	s, _ := newAccountSystem(t, 2)
	first, second := s.nodes["n1"], s.nodes["n2"]
	require.Eventually(t, func() bool { return len(first.node.cluster.Nodes()) == 1 }, waitLimit, pollInterval)
	for i, key := range []string{keyA, keyA, keyB, "secret-unknown", ""} {
		s.callAs(second, key, "POST", "/lookup/x", fmt.Sprintf("r%d", i), nil)
	}
	s.callAs(first, keyA, "POST", "/lookup/x", "r", nil)
	server := httptest.NewServer(first.node.metricsHandler())
	t.Cleanup(server.Close)
	client := operator.NewClient(strings.TrimPrefix(server.URL, "http://"), s.client)
	text, err := client.AccountReport(t.Context(), "a")
	require.NoError(t, err)
	for _, line := range []string{"2 of 2 nodes heard", "account a", "3 requests ended", "answered      3", "all callers: 2", "no_key        1", "unknown_key   1"} {
		require.Contains(t, text, line)
	}
	text, err = client.AccountReport(t.Context(), "c")
	require.NoError(t, err)
	require.Contains(t, text, "not in this configuration")
	text, err = client.Report(t.Context())
	require.NoError(t, err)
	require.Contains(t, text, "2 refused for their key")
	response, err := s.client.Get(server.URL + "/metrics")
	require.NoError(t, err)
	defer response.Body.Close()
	var metrics bytes.Buffer
	_, err = metrics.ReadFrom(response.Body)
	require.NoError(t, err)
	require.Contains(t, metrics.String(), `comfreyfront_account_requests_total{account="a",outcome="answered"} 1`)
}
