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

// classCommands returns `class apply`, `list`, `show` and `history`.
func classCommands(parser *flaggy.Parser) []leaf {
	group := flaggy.NewSubcommand("class")
	group.Description = "Shows and changes classes of work."
	leaves := []leaf{applyCommand(group), listCommand(group), showCommand(group), historyCommand(group)}
	parser.AttachSubcommand(group, 1)
	return leaves
}

// application holds the flags of `class apply`.
type application struct {
	target
	file     string
	who      string
	changeID string
	expect   int64
}

func applyCommand(group *flaggy.Subcommand) leaf {
	subcommand := flaggy.NewSubcommand("apply")
	subcommand.Description = "Replaces the class document by that of a YAML file."
	a := &application{who: os.Getenv("USER"), expect: config.AnyRevision}
	a.addFlag(subcommand)
	subcommand.String(&a.file, "f", "file", "YAML file with the classes")
	subcommand.String(&a.who, "w", "who", "operator's name for the history [USER]")
	subcommand.String(&a.changeID, "", "change-id", "identifier of the change, to repeat one whose outcome is unknown; made up if empty")
	subcommand.Int64(&a.expect, "", "expect", "revision that the file was made from; -1 for the one in force now")
	group.AttachSubcommand(subcommand, 1)
	return leaf{subcommand: subcommand, run: a.run}
}

func (a *application) run(ctx context.Context, streams streams) int {
	if a.file == "" {
		return fail(streams, exitUsage, "give the YAML file with --file")
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

func (a *application) send(ctx context.Context, streams streams, text string) int {
	change := operator.Change{ID: config.ChangeID(a.changeID), Who: a.who, Expect: a.expect, Classes: text}
	accepted, err := a.client().Apply(ctx, change)
	if err != nil {
		return a.explain(streams, err)
	}
	fmt.Fprintf(streams.out, "accepted as revision %d\n", accepted.Revision)
	printChanges(streams, accepted.Changes)
	return exitOK
}

// explain tells an operator what became of a change that was not accepted.
func (a *application) explain(streams streams, err error) int {
	refusal, told := operator.RefusalOf(err)
	switch {
	case !told && errorx.IsOfType(err, operator.ErrUnreachable), refusal.Unknown:
		fmt.Fprintf(streams.err, "%v\n", err)
		return fail(streams, exitUnknown, "it is NOT KNOWN whether the change was accepted; find out with:\n  comfreyfront class apply --file %s --change-id %s", a.file, a.changeID)
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
	fmt.Fprintf(streams.err, "conflict: your change was made from revision %d, but %d is in force\n", conflict.Expected, conflict.Current)
	for _, won := range conflict.Won {
		fmt.Fprintf(streams.err, "accepted before yours: revision %d by %s\n", won.Revision, won.Who)
		for _, change := range won.Changes {
			fmt.Fprintf(streams.err, "  %s\n", change)
		}
	}
	fmt.Fprintln(streams.err, "yours would do now:")
	for _, change := range conflict.Yours {
		fmt.Fprintf(streams.err, "  %s\n", change)
	}
}

func listCommand(group *flaggy.Subcommand) leaf {
	subcommand := flaggy.NewSubcommand("list")
	subcommand.Description = "Lists the classes in force, those refused last first."
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

// document reads the document in force.
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
		return nil, fail(streams, exitFailed, "the entry's document cannot be read: %v", err)
	}
	return document.WithRevision(state.Revision), exitOK
}

func showCommand(group *flaggy.Subcommand) leaf {
	subcommand := flaggy.NewSubcommand("show")
	subcommand.Description = "Prints the YAML document in force, or one class of it."
	entry := &target{}
	entry.addFlag(subcommand)
	var name string
	subcommand.AddPositionalValue(&name, "class", 1, false, "name of one class")
	group.AttachSubcommand(subcommand, 1)
	return leaf{subcommand: subcommand, run: func(ctx context.Context, streams streams) int {
		document, code := entry.document(ctx, streams)
		if code != exitOK {
			return code
		}
		if name != "" {
			found, ok := document.Find(name)
			if !ok {
				return fail(streams, exitFailed, "there is no class %q; there are: %s", name, classNames(document))
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
