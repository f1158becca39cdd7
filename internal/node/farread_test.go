package node

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/platform/platformtest"
)

// TestReadFromAFarPositionKeepsTheOwnerRunning guards against reads of results from a
// position beyond 32 or 64 bits, after which the owner of the engines stood still for good:
// nothing was placed or listed any more.
func TestReadFromAFarPositionKeepsTheOwnerRunning(t *testing.T) {
	s := newSystem(t)
	nodes := []*testNode{s.start("n1"), s.start("n2")}
	s.submit(nodes[0], "a", 4)
	for i, n := range nodes {
		s.requireComplete(s.results(n, "a", 4), "a", 4)
		for _, position := range []string{"2147483648", "3000000000", "4294967295", "9223372036854775807", "18446744073709551616"} {
			status, content := s.call(n, "GET", platformtest.ResultsPath("a")+"?after="+position, "", nil)
			require.Equal(t, http.StatusOK, status, position)
			page, err := platformtest.DecodePage(content)
			require.NoError(t, err)
			require.Empty(t, page.Results, position)
		}
		id := fmt.Sprintf("next-%d", i)
		s.submit(n, id, 4)
		s.requireComplete(s.results(n, id, 4), id, 4)
	}
}
