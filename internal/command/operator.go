package command

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"github.com/comfreyfront/comfreyfront/internal/operator"
	"github.com/comfreyfront/comfreyfront/internal/strict"
)

// environmentEntry is the name of the environment variable with the address of
// the entry that the operator's commands call.
const environmentEntry = "COMFREYFRONT_ENTRY"

// Default address and call timeout of the operator's commands.
const (
	defaultEntry    = "127.0.0.1:8081"
	operatorTimeout = 15 * time.Second
)

// target selects the entry that a command calls.
type target struct {
	entry string
}

// addFlag adds the flag for the entry's address.
func (t *target) addFlag(subcommand *flaggy.Subcommand) {
	t.entry = defaultEntry
	if value := os.Getenv(environmentEntry); value != "" {
		t.entry = value
	}
	subcommand.String(&t.entry, "e", "entry", fmt.Sprintf("host:port of any entry's internal interface [%s]", environmentEntry))
}

func (t *target) client() *operator.Client {
	return operator.NewClient(t.entry, &http.Client{Transport: strict.DefaultTransport, Timeout: operatorTimeout})
}

func reportCommand(parser *flaggy.Parser) leaf {
	subcommand := flaggy.NewSubcommand("report")
	subcommand.Description = "Prints whether each class meets its targets and which actions are advised."
	entry := &target{}
	entry.addFlag(subcommand)
	var account string
	subcommand.String(&account, "a", "account", "name of a client account to report on; nodes on the platform only")
	parser.AttachSubcommand(subcommand, 1)
	return leaf{subcommand: subcommand, run: func(ctx context.Context, streams streams) int {
		read := entry.client().Report
		if account != "" {
			read = func(ctx context.Context) (string, error) { return entry.client().AccountReport(ctx, account) }
		}
		text, err := read(ctx)
		if err != nil {
			return fail(streams, exitFailed, "the report is not available: %v", err)
		}
		fmt.Fprint(streams.out, text)
		return exitOK
	}}
}
