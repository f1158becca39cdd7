package journal_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/standin/journal"
)

type record struct {
	Name string `json:"name"`
}

func TestReadFileReturnsAppendedRecordsAndSkipsPartialLine(t *testing.T) {
	path := filepath.Join(t.TempDir(), "journal")
	j, err := journal.Open[record](path)
	require.NoError(t, err)
	j.Append(record{Name: "a"})
	j.Append(record{Name: "b"})
	require.Equal(t, []record{{"a"}, {"b"}}, j.All())
	reopened, err := journal.Open[record](path)
	require.NoError(t, err)
	reopened.Append(record{Name: "c"})
	file, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
	require.NoError(t, err)
	_, err = file.WriteString(`{"name":`)
	require.NoError(t, err)
	require.NoError(t, file.Close())
	records, err := journal.ReadFile[record](path)
	require.NoError(t, err)
	require.Equal(t, []record{{"a"}, {"b"}, {"c"}}, records)
}
