package claim

import (
	"flag"
	"log/slog"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse() // the command line may set another seed
	goleak.VerifyTestMain(m)
}

var quiet = slog.New(slog.DiscardHandler)
