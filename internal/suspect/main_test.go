package suspect

import (
	"log/slog"
	"testing"

	"go.uber.org/goleak"

	"github.com/comfreyfront/comfreyfront/internal/seedtest"
)

func TestMain(m *testing.M) {
	seedtest.Fix()
	goleak.VerifyTestMain(m)
}

var discardLogger = slog.New(slog.DiscardHandler)
