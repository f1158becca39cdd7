package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
)

func validEntry() *Entry {
	e := Default()
	e.ID, e.FailureDomain, e.Region = "entry-1", "larissa", "greece"
	e.StoreAddress, e.ListAddress = "10.0.0.9:2379", "10.0.0.9:2380"
	return e
}

func TestCheckReportsEveryMistake(t *testing.T) {
	require.NoError(t, validEntry().Check())
	e := validEntry()
	e.ID, e.Listen, e.RequestTimeout, e.Policy, e.LogLevel = "a b", "8080", 0, "best", "LOUD"
	err := e.Check()
	require.True(t, errorx.IsOfType(err, ErrInvalid))
	lines := strings.Split(Explain(err), "\n")
	require.Len(t, lines, 5)
	for i, flag := range []string{"--id", "--listen", "--request-timeout", "--policy", "--log-level"} {
		require.Contains(t, lines[i], flag)
	}
}

func TestEnvironmentSetsEveryFlag(t *testing.T) {
	e := validEntry()
	for _, flag := range e.Flags() {
		value := "x"
		if flag.Duration != nil {
			value = "7s"
		}
		if flag.Number != nil {
			value = "7"
		}
		require.NoError(t, e.ReadEnvironment(func(name string) (string, bool) { return value, name == flag.Environment() }))
		if flag.Duration != nil {
			require.Equal(t, 7*time.Second, *flag.Duration, flag.Name)
			continue
		}
		if flag.Number != nil {
			require.Equal(t, 7, *flag.Number, flag.Name)
			continue
		}
		require.Equal(t, "x", *flag.Text, flag.Name)
	}
}

func TestMalformedEnvironmentVariableIsReported(t *testing.T) {
	err := validEntry().ReadEnvironment(func(name string) (string, bool) { return "soon", name == "COMFREYFRONT_REQUEST_TIMEOUT" })
	require.True(t, errorx.IsOfType(err, ErrInvalid))
	require.Contains(t, Explain(err), "COMFREYFRONT_REQUEST_TIMEOUT")
}
