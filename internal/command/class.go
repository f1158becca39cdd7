package command

import (
	"context"
	"crypto/rand"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/integrii/flaggy"
	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/class"
	"github.com/comfreyfront/comfreyfront/internal/config"
	"github.com/comfreyfront/comfreyfront/internal/operator"
)

// classCommands returns the commands `class apply`, `class list`, `class show`
// and `class history`.
func classCommands(parser *flaggy.Parser) []leaf {
	group := flaggy.NewSubcommand("class")
	group.Description = "Shows and changes the classes of work."
	leaves := []leaf{applyCommand(group), listCommand(group), showCommand(group), historyCommand(group)}
	parser.AttachSubcommand(group, 1)
	return leaves
}

// applyFlags holds the flags of `class apply`.
type applyFlags struct {
	target
	file     string
	who      string
	changeID string
	expect   int64
}

func applyCommand(group *flaggy.Subcommand) leaf {
	subcommand := flaggy.NewSubcommand("apply")
	subcommand.Description = "Replaces the class document with a YAML file."
	a := &applyFlags{who: os.Getenv("USER"), expect: config.AnyRevision}
	a.addFlag(subcommand)
	subcommand.String(&a.file, "f", "file", "YAML file with the classes")
	subcommand.String(&a.who, "w", "who", "operator's name for the history [USER]")
	subcommand.String(&a.changeID, "", "change-id", "identifier of the change, to retry one whose outcome is unknown; generated if empty")
	subcommand.Int64(&a.expect, "", "expect", "revision that the file is based on; -1 for the current one")
	group.AttachSubcommand(subcommand, 1)
	return leaf{subcommand: subcommand, run: a.run}
}

func (a *applyFlags) run(ctx context.Context, streams streams) int {
	if a.file == "" {
		return fail(streams, exitUsage, "--file with a YAML file is required")
	}
	text, err := os.ReadFile(a.file)
	if err != nil {
		return fail(streams, exitUsage, "%v", err)
	}
	if _, err := class.Decode(text); err != nil {
		printMistakes(streams, a.file, class.MistakesOf(err))
		return fail(streams, exitUsage, "nothing was stored")
	}
	if a.changeID == "" {
		a.changeID = rand.Text()
	}
	return a.send(ctx, streams, string(text))
}

func (a *applyFlags) send(ctx context.Context, streams streams, text string) int {
	change := operator.Change{ID: config.ChangeID(a.changeID), Who: a.who, Expect: a.expect, Classes: text}
	accepted, err := a.client().Apply(ctx, change)
	if err != nil {
		return a.printFailure(streams, err)
	}
	fmt.Fprintf(streams.out, "accepted as revision %d\n", accepted.Revision)
	printChanges(streams, accepted.Changes)
	return exitOK
}

// printFailure prints why a change was not accepted, or that its outcome is
// unknown, and returns the exit code.
func (a *applyFlags) printFailure(streams streams, err error) int {
	refusal, refused := operator.RefusalOf(err)
	switch {
	case !refused && errorx.IsOfType(err, operator.ErrUnreachable), refusal.Unknown:
		fmt.Fprintf(streams.err, "%v\n", err)
		return fail(streams, exitUnknown, "it is NOT KNOWN whether the change was accepted; to determine it, run:\n  comfreyfront class apply --file %s --change-id %s", a.file, a.changeID)
	case refusal.Conflict != nil:
		printConflict(streams, refusal.Conflict)
		return fail(streams, exitFailed, "nothing was stored")
	case len(refusal.Mistakes) > 0:
		printMistakes(streams, a.file, refusal.Mistakes)
		return fail(streams, exitUsage, "nothing was stored")
	default:
		return fail(streams, exitFailed, "nothing was stored: %v", err)
	}
}

func printMistakes(streams streams, file string, mistakes []class.Mistake) {
	for _, mistake := range mistakes {
		fmt.Fprintf(streams.err, "%s: %s\n", file, mistake)
	}
}

func printChanges(streams streams, changes []class.Change) {
	for _, change := range changes {
		fmt.Fprintf(streams.out, "  %s\n", change)
	}
}

func printConflict(streams streams, conflict *config.Conflict) {
	fmt.Fprintf(streams.err, "conflict: your change is based on revision %d, but the current one is %d\n", conflict.Expected, conflict.Current)
	for _, won := range conflict.AcceptedSince {
		fmt.Fprintf(streams.err, "accepted before yours: revision %d by %s\n", won.Revision, won.Who)
		for _, change := range won.Changes {
			fmt.Fprintf(streams.err, "  %s\n", change)
		}
	}
	fmt.Fprintln(streams.err, "your change would now make these changes:")
	for _, change := range conflict.Yours {
		fmt.Fprintf(streams.err, "  %s\n", change)
	}
}

func listCommand(group *flaggy.Subcommand) leaf {
	subcommand := flaggy.NewSubcommand("list")
	subcommand.Description = "Lists the current classes in order of precedence; the last is refused first under overload."
	entry := &target{}
	entry.addFlag(subcommand)
	group.AttachSubcommand(subcommand, 1)
	return leaf{subcommand: subcommand, run: func(ctx context.Context, streams streams) int {
		document, code := entry.document(ctx, streams)
		if code != exitOK {
			return code
		}
		table := tabwriter.NewWriter(streams.out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(table, "CLASS\tLATENESS\tFRESHNESS\tCOMPLETENESS")
		for _, c := range document.Precedence() {
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", c.Name, c.LatenessText(), c.Freshness, c.CompletenessText())
		}
		if err := table.Flush(); err != nil {
			return fail(streams, exitFailed, "%v", err)
		}
		fmt.Fprintf(streams.out, "revision %d\n", document.Revision)
		return exitOK
	}}
}

// document reads the current class document from the entry.
func (t *target) document(ctx context.Context, streams streams) (*class.Document, int) {
	state, err := t.client().Classes(ctx)
	if err != nil {
		return nil, fail(streams, exitFailed, "%v", err)
	}
	if state.Revision == 0 {
		return &class.Document{}, exitOK
	}
	document, err := class.Decode([]byte(state.Classes))
	if err != nil {
		return nil, fail(streams, exitFailed, "the entry's class document cannot be decoded: %v", err)
	}
	return document.WithRevision(state.Revision), exitOK
}

func showCommand(group *flaggy.Subcommand) leaf {
	subcommand := flaggy.NewSubcommand("show")
	subcommand.Description = "Prints the current class document, or one class of it, as YAML."
	entry := &target{}
	entry.addFlag(subcommand)
	var name string
	subcommand.AddPositionalValue(&name, "class", 1, false, "name of the class")
	group.AttachSubcommand(subcommand, 1)
	return leaf{subcommand: subcommand, run: func(ctx context.Context, streams streams) int {
		document, code := entry.document(ctx, streams)
		if code != exitOK {
			return code
		}
		if name != "" {
			found, ok := document.Find(name)
			if !ok {
				return fail(streams, exitFailed, "there is no class %q; the classes are: %s", name, classNames(document))
			}
			document = &class.Document{Revision: document.Revision, Classes: []class.Class{found}}
		}
		fmt.Fprintf(streams.out, "# revision %d\n%s", document.Revision, class.Encode(document))
		return exitOK
	}}
}

func classNames(document *class.Document) string {
	names := make([]string, 0, len(document.Classes))
	for _, c := range document.Classes {
		names = append(names, c.Name)
	}
	return strings.Join(names, ", ")
}

func historyCommand(group *flaggy.Subcommand) leaf {
	subcommand := flaggy.NewSubcommand("history")
	subcommand.Description = "Lists the latest changes, newest first."
	entry := &target{}
	entry.addFlag(subcommand)
	group.AttachSubcommand(subcommand, 1)
	return leaf{subcommand: subcommand, run: func(ctx context.Context, streams streams) int {
		history, err := entry.client().History(ctx)
		if err != nil {
			return fail(streams, exitFailed, "%v", err)
		}
		for i := len(history) - 1; i >= 0; i-- {
			change := history[i]
			fmt.Fprintf(streams.out, "revision %d  %s  %s  change %s\n", change.Revision, change.At.Format("2006-01-02 15:04:05"), change.Who, change.ChangeID)
			printChanges(streams, change.Changes)
		}
		return exitOK
	}}
}
