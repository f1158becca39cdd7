package share

import (
	"os"
	"testing"

	"github.com/comfreyfront/comfreyfront/internal/seedtest"
)

func TestMain(m *testing.M) {
	seedtest.Fix()
	os.Exit(m.Run())
}
