package suspect

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
)

// FuzzMerge merges arbitrary rows from another entry into a registry and checks the
// bounds of the rows that it returns.
func FuzzMerge(f *testing.F) {
	for _, row := range []*peerpb.Suspect{
		{}, {Fingerprint: make([]byte, FingerprintSize), Deaths: 1, Endpoints: []string{"a"}},
		{Fingerprint: make([]byte, FingerprintSize), Convicted: true, AgeMs: -1},
	} {
		seed, err := proto.Marshal(&peerpb.News{Suspects: []*peerpb.Suspect{row}})
		require.NoError(f, err)
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var news peerpb.News
		if proto.Unmarshal(data, &news) != nil {
			return
		}
		r := newRegistry(Options{Limit: 4})
		r.Merge(news.GetSuspects())
		for _, row := range r.News(100) {
			require.Len(t, row.GetFingerprint(), FingerprintSize)
			require.LessOrEqual(t, len(row.GetEndpoints()), endpointsLimit)
			require.GreaterOrEqual(t, row.GetAgeMs(), int64(0))
		}
	})
}
