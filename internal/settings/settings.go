// Package settings defines the settings of the entry and node processes. Flags
// and environment variables set them, for a node also a settings file, and all
// are checked together at startup.
package settings

import (
	"fmt"
	"log/slog"
	"net"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

// Entry holds the settings of one entry process.
type Entry struct {
	ID              string
	FailureDomain   string
	Region          string
	Listen          string // host:port for callers
	InternalListen  string // host:port for entries, operators and probes
	StoreAddress    string // host:port of the platform's key-value service
	ListAddress     string // host:port of the platform's instance list
	LogLevel        string
	RequestTimeout  time.Duration
	ShutdownTimeout time.Duration
	Policy          string
	// MemoryMB is the memory of this instance, and MaxFiles the number of file descriptors that
	// the process may open; zero means that they are not known.
	MemoryMB int
	MaxFiles int
	Intake   Intake
}

// Policies for choosing endpoints and ordering requests.
const (
	PolicyDefault = "default"
	PolicyNaive   = "naive"
)

// Defaults of the settings that have one.
const (
	defaultListen          = "127.0.0.1:8080"
	defaultInternalListen  = "127.0.0.1:8081"
	defaultRequestTimeout  = 10 * time.Minute
	defaultShutdownTimeout = 2 * time.Minute
)

// environmentPrefix is the prefix of the name of each environment variable.
const environmentPrefix = "COMFREYFRONT_"

// Errors of this package.
var (
	Errors = errorx.NewNamespace("settings")
	// ErrInvalid lists every invalid setting.
	ErrInvalid = Errors.NewType("invalid")
)

// Flag describes one setting for a command line parser.
type Flag struct {
	Name  string
	Usage string
	// Text, Duration or Number points to the variable that the flag sets; the others are nil.
	Text     *string
	Duration *time.Duration
	Number   *int
}

// Environment returns the name of the flag's environment variable.
func (f Flag) Environment() string {
	return environmentPrefix + strings.ToUpper(strings.ReplaceAll(f.Name, "-", "_"))
}

// Default returns the default settings of an entry.
func Default() *Entry {
	return &Entry{
		Listen:          defaultListen,
		InternalListen:  defaultInternalListen,
		LogLevel:        slog.LevelInfo.String(),
		RequestTimeout:  defaultRequestTimeout,
		ShutdownTimeout: defaultShutdownTimeout,
		Policy:          PolicyDefault,
		Intake:          defaultIntake(),
	}
}

// Flags returns a flag for each setting.
func (e *Entry) Flags() []Flag {
	return []Flag{
		{Name: "id", Usage: "name of this instance, as in the instance list", Text: &e.ID},
		{Name: "failure-domain", Usage: "failure domain of this instance", Text: &e.FailureDomain},
		{Name: "region", Usage: "region of this instance", Text: &e.Region},
		{Name: "listen", Usage: "host:port for callers", Text: &e.Listen},
		{Name: "internal-listen", Usage: "host:port for entries, operators and probes", Text: &e.InternalListen},
		{Name: "store-address", Usage: "host:port of the platform's key-value service", Text: &e.StoreAddress},
		{Name: "list-address", Usage: "host:port of the platform's instance list", Text: &e.ListAddress},
		{Name: "log-level", Usage: "DEBUG, INFO, WARN or ERROR", Text: &e.LogLevel},
		{Name: "request-timeout", Usage: "longest time for one request, such as 10m or 30s", Duration: &e.RequestTimeout},
		{Name: "shutdown-timeout", Usage: "longest time to finish work in flight, such as 2m", Duration: &e.ShutdownTimeout},
		{Name: "policy", Usage: "default, or naive for comparisons", Text: &e.Policy},
		{Name: "memory", Usage: "memory of this instance, in MB; the process stays below it; 0: not known", Number: &e.MemoryMB},
		{Name: "max-files", Usage: "file descriptors that this process may open; 0: the limit of the operating system", Number: &e.MaxFiles},
		{Name: "intake-memory", Usage: "memory for the bodies of all callers and for answers that wait for them, in MB; 0: a quarter of the memory, or 256 MB", Number: &e.Intake.MemoryMB},
		{Name: "intake-connections", Usage: "connections of callers; 0: as many as the memory and the descriptors allow", Number: &e.Intake.Connections},
		{Name: "intake-client-connections", Usage: "connections of one client address; 0: no bound, as behind a load balancer", Number: &e.Intake.ClientConnections},
		{Name: "intake-body-rate", Usage: "rate at which a body must arrive on average after --intake-body-grace, in KB a second", Number: &e.Intake.BodyRateKB},
		{Name: "intake-body-grace", Usage: "time that any body may take, such as 30s", Duration: &e.Intake.BodyGrace},
		{Name: "intake-write-stall", Usage: "time after which a caller that reads none of its answer is disconnected, such as 10s", Duration: &e.Intake.WriteStall},
	}
}

// ReadEnvironment sets values from environment variables; flags that are parsed
// later override them. It returns ErrInvalid with every malformed variable.
func (e *Entry) ReadEnvironment(lookup func(string) (string, bool)) error {
	var mistakes []string
	for _, flag := range e.Flags() {
		value, set := lookup(flag.Environment())
		if !set {
			continue
		}
		if flag.Text != nil {
			*flag.Text = value
			continue
		}
		if flag.Number != nil {
			number, err := strconv.Atoi(value)
			if err != nil {
				mistakes = append(mistakes, fmt.Sprintf("%s: %q is not a whole number", flag.Environment(), value))
				continue
			}
			*flag.Number = number
			continue
		}
		duration, err := time.ParseDuration(value)
		if err != nil {
			mistakes = append(mistakes, fmt.Sprintf("%s: %q is not a duration such as 30s", flag.Environment(), value))
			continue
		}
		*flag.Duration = duration
	}
	return invalid(mistakes)
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Check validates all settings and returns ErrInvalid with every mistake, or nil.
func (e *Entry) Check() error {
	var mistakes []string
	add := func(format string, args ...any) { mistakes = append(mistakes, fmt.Sprintf(format, args...)) }
	for _, name := range []struct{ flag, value string }{{"id", e.ID}, {"failure-domain", e.FailureDomain}, {"region", e.Region}} {
		if !namePattern.MatchString(name.value) {
			add("--%s: %q must be 1 to 63 letters, digits, dots, dashes or underscores", name.flag, name.value)
		}
	}
	for _, address := range []struct{ flag, value string }{
		{"listen", e.Listen}, {"internal-listen", e.InternalListen}, {"store-address", e.StoreAddress}, {"list-address", e.ListAddress},
	} {
		if _, _, err := net.SplitHostPort(address.value); err != nil {
			add("--%s: %q must be host:port", address.flag, address.value)
		}
	}
	if e.RequestTimeout <= 0 {
		add("--request-timeout: %s must be above zero", e.RequestTimeout)
	}
	if e.ShutdownTimeout <= 0 {
		add("--shutdown-timeout: %s must be above zero", e.ShutdownTimeout)
	}
	if e.MemoryMB != 0 && e.MemoryMB < minMemoryMB {
		add("--memory: %d must be at least %d", e.MemoryMB, minMemoryMB)
	}
	if e.MaxFiles < 0 {
		add("--max-files: %d must not be negative", e.MaxFiles)
	}
	for _, mistake := range e.Intake.mistakes() {
		add("--%s", mistake)
	}
	if e.Policy != PolicyDefault && e.Policy != PolicyNaive {
		add("--policy: %q must be %s or %s", e.Policy, PolicyDefault, PolicyNaive)
	}
	if _, err := e.Level(); err != nil {
		add("--log-level: %q must be DEBUG, INFO, WARN or ERROR", e.LogLevel)
	}
	return invalid(mistakes)
}

// Level returns the lowest log level that is written.
func (e *Entry) Level() (slog.Level, error) {
	var level slog.Level
	err := level.UnmarshalText([]byte(e.LogLevel))
	return level, err
}

func invalid(mistakes []string) error {
	if len(mistakes) == 0 {
		return nil
	}
	return ErrInvalid.New("%s", strings.Join(mistakes, "\n"))
}

// Explain renders an ErrInvalid for an operator with one line per mistake.
func Explain(err error) string {
	if cast := errorx.Cast(err); cast != nil {
		return cast.Message()
	}
	return err.Error()
}
