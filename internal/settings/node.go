package settings

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"time"
)

// Node holds the settings of a node on the platform.
type Node struct {
	Name          string
	FailureDomain string
	Listen        string // host:port for callers
	ReadyListen   string // host:port for the balancer's readiness checks
	PeerListen    string // host:port for other nodes
	MetricsListen string // host:port for metrics; empty disables them
	StoreAddress  string // host:port of the metadata store
	Grace         time.Duration
	LeaseTTL      time.Duration
	StatusLife    time.Duration
	MemoryMB      int
	// Capacity is the fraction of a CPU core that this instance has.
	Capacity float64
	// KeyRevocation is how long after a configuration has withdrawn an account's key a
	// request with that key may still be accepted, whether or not this node has learned of
	// it. Zero sets no limit.
	KeyRevocation time.Duration
	// ManagementAddress is the host:port of the platform's management interface, which takes
	// usage reports and orders for endpoints; empty means that there is none.
	ManagementAddress string
	// ManagementRate is the number of calls a second that the management interface accepts
	// from all nodes together.
	ManagementRate float64
	// HolderChange is the shortest time between the calls of two holders of one duty.
	HolderChange time.Duration
	// UsageWindow is the length of the windows for which usage is reported, and UsageDue how
	// long after its end the report of a window is due. A zero UsageWindow disables reports.
	UsageWindow time.Duration
	UsageDue    time.Duration
	// MaxFiles is the number of file descriptors that the process may open; zero means that
	// the limit of the operating system applies.
	MaxFiles int
	Intake   Intake
	LogLevel string
}

// Defaults and lower limits of a node's settings.
const (
	defaultGrace      = 8 * time.Second
	defaultLeaseTTL   = 1200 * time.Millisecond
	defaultStatusLife = 2 * time.Minute
	defaultMemoryMB   = 256
	defaultCapacity   = 1.0
	// defaultHolderChange outlasts the lease of the previous holder of a duty.
	defaultHolderChange   = 3 * time.Second
	defaultManagementRate = 10.0
	defaultUsageDue       = 10 * time.Second
	minMemoryMB           = 32
	minLeaseTTL           = time.Second
)

// DefaultNode returns the default settings of a node.
func DefaultNode() *Node {
	return &Node{
		Grace: defaultGrace, LeaseTTL: defaultLeaseTTL, StatusLife: defaultStatusLife,
		MemoryMB: defaultMemoryMB, Capacity: defaultCapacity,
		HolderChange: defaultHolderChange, ManagementRate: defaultManagementRate, UsageDue: defaultUsageDue,
		Intake: defaultIntake(), LogLevel: slog.LevelInfo.String(),
	}
}

// Setting is one setting of a node, which a flag, an environment variable or a
// line of the settings file can set.
type Setting struct {
	Name  string
	Usage string
	// Set parses a text and stores the value.
	Set func(text string) error
	// Text formats the current value so that Set accepts it.
	Text func() string
}

// Environment returns the name of the setting's environment variable.
func (s Setting) Environment() string { return Flag{Name: s.Name}.Environment() }

// Settings lists the settings of a node.
func (n *Node) Settings() []Setting {
	return append([]Setting{
		textSetting("name", "name of this instance", &n.Name),
		textSetting("failure-domain", "failure domain of this instance", &n.FailureDomain),
		textSetting("listen", "host:port for callers", &n.Listen),
		textSetting("ready-listen", "host:port for the balancer's readiness checks", &n.ReadyListen),
		textSetting("peer-listen", "host:port for other nodes", &n.PeerListen),
		textSetting("metrics-listen", "host:port for metrics, /metrics; empty disables them", &n.MetricsListen),
		textSetting("store-address", "host:port of the metadata store", &n.StoreAddress),
		durationSetting("grace", "time from SIGTERM to the end of the process, such as 8s, or in seconds", &n.Grace, time.Second),
		durationSetting("lease-ttl", "how long this node's key remains valid after its last renewal, such as 1.5s: a shorter time detects failed nodes sooner and costs more calls", &n.LeaseTTL, time.Second),
		durationSetting("status-life", "how long results can be read after a submission arrives, such as 2m, or in seconds", &n.StatusLife, time.Second),
		integerSetting("memory", "memory of this instance, in MB; the process stays well below it", &n.MemoryMB),
		floatSetting("capacity", "fraction of a CPU core that this instance has; units are assigned to the nodes with the most capacity", &n.Capacity),
		durationSetting("key-revocation", "time after which no request is accepted any more with a key that a configuration withdrew, such as 5s, or in seconds; 0 sets no limit", &n.KeyRevocation, time.Second),
		textSetting("management-address", "host:port of the platform's management interface for usage reports and orders for endpoints; empty: none", &n.ManagementAddress),
		floatSetting("management-rate", "calls a second that the management interface accepts from all nodes together", &n.ManagementRate),
		durationSetting("holder-change", "shortest time between the calls of two holders of one duty, such as 3s, or in seconds", &n.HolderChange, time.Second),
		durationSetting("usage-window", "length of the windows for which the usage of accounts is reported, such as 5s, or in seconds; 0 disables the reports", &n.UsageWindow, time.Second),
		durationSetting("usage-due", "time after the end of a window in which its usage report is due, such as 10s, or in seconds", &n.UsageDue, time.Second),
		integerSetting("max-files", "file descriptors that this process may open; 0: the limit of the operating system", &n.MaxFiles),
		textSetting("log-level", "DEBUG, INFO, WARN or ERROR", &n.LogLevel),
	}, n.Intake.settings()...)
}

func textSetting(name, usage string, value *string) Setting {
	return Setting{
		Name: name, Usage: usage,
		Set:  func(text string) error { *value = text; return nil },
		Text: func() string { return *value },
	}
}

func durationSetting(name, usage string, value *time.Duration, unit time.Duration) Setting {
	return Setting{
		Name: name, Usage: usage,
		Set: func(text string) error {
			if number, err := strconv.ParseFloat(text, 64); err == nil {
				*value = time.Duration(number * float64(unit))
				return nil
			}
			duration, err := time.ParseDuration(text)
			if err != nil {
				return fmt.Errorf("%q is not a duration such as 30s", text)
			}
			*value = duration
			return nil
		},
		Text: func() string { return value.String() },
	}
}

func integerSetting(name, usage string, value *int) Setting {
	return Setting{
		Name: name, Usage: usage,
		Set: func(text string) error {
			number, err := strconv.ParseFloat(text, 64)
			if err != nil {
				return fmt.Errorf("%q is not a number", text)
			}
			*value = int(number)
			return nil
		},
		Text: func() string { return strconv.Itoa(*value) },
	}
}

func floatSetting(name, usage string, value *float64) Setting {
	return Setting{
		Name: name, Usage: usage,
		Set: func(text string) error {
			number, err := strconv.ParseFloat(text, 64)
			if err != nil {
				return fmt.Errorf("%q is not a number", text)
			}
			*value = number
			return nil
		},
		Text: func() string { return strconv.FormatFloat(*value, 'g', -1, 64) },
	}
}

// ReadFile sets values from lines of the form name=value. It skips empty lines
// and lines that begin with #, and returns ErrInvalid with every mistake.
func (n *Node) ReadFile(file io.Reader) error {
	known := map[string]Setting{}
	for _, setting := range n.Settings() {
		known[setting.Name] = setting
	}
	var mistakes []string
	lines := bufio.NewScanner(file)
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, value, found := strings.Cut(line, "=")
		setting, exists := known[strings.TrimSpace(name)]
		switch {
		case !found:
			mistakes = append(mistakes, fmt.Sprintf("line %d: %q is not of the form name=value", number, line))
		case !exists:
			mistakes = append(mistakes, fmt.Sprintf("line %d: unknown setting %q", number, name))
		default:
			if err := setting.Set(strings.TrimSpace(value)); err != nil {
				mistakes = append(mistakes, fmt.Sprintf("line %d: %s: %v", number, name, err))
			}
		}
	}
	if err := lines.Err(); err != nil {
		mistakes = append(mistakes, err.Error())
	}
	return invalid(mistakes)
}

// ReadEnvironment sets values from environment variables, and returns ErrInvalid
// with every malformed variable.
func (n *Node) ReadEnvironment(lookup func(string) (string, bool)) error {
	var mistakes []string
	for _, setting := range n.Settings() {
		value, set := lookup(setting.Environment())
		if !set {
			continue
		}
		if err := setting.Set(value); err != nil {
			mistakes = append(mistakes, fmt.Sprintf("%s: %v", setting.Environment(), err))
		}
	}
	return invalid(mistakes)
}

// Check validates all settings and returns ErrInvalid with every mistake, or nil.
func (n *Node) Check() error {
	var mistakes []string
	add := func(format string, args ...any) { mistakes = append(mistakes, fmt.Sprintf(format, args...)) }
	for _, name := range []struct{ setting, value string }{{"name", n.Name}, {"failure-domain", n.FailureDomain}} {
		if !namePattern.MatchString(name.value) {
			add("%s: %q must be 1 to 63 letters, digits, dots, dashes or underscores", name.setting, name.value)
		}
	}
	for _, address := range []struct{ setting, value string }{
		{"listen", n.Listen}, {"ready-listen", n.ReadyListen}, {"peer-listen", n.PeerListen}, {"store-address", n.StoreAddress},
	} {
		if _, _, err := net.SplitHostPort(address.value); err != nil {
			add("%s: %q must be host:port", address.setting, address.value)
		}
	}
	if _, _, err := net.SplitHostPort(n.MetricsListen); n.MetricsListen != "" && err != nil {
		add("metrics-listen: %q must be host:port", n.MetricsListen)
	}
	if n.Grace <= 0 {
		add("grace: %s must be above zero", n.Grace)
	}
	if n.LeaseTTL < minLeaseTTL {
		add("lease-ttl: %s must be at least %s", n.LeaseTTL, minLeaseTTL)
	}
	if n.StatusLife <= 0 {
		add("status-life: %s must be above zero", n.StatusLife)
	}
	if n.Capacity <= 0 {
		add("capacity: %g must be above zero", n.Capacity)
	}
	mistakes = append(mistakes, n.managementMistakes()...)
	mistakes = append(mistakes, n.Intake.mistakes()...)
	if n.MemoryMB < minMemoryMB {
		add("memory: %d must be at least %d", n.MemoryMB, minMemoryMB)
	}
	if _, err := n.Level(); err != nil {
		add("log-level: %q must be DEBUG, INFO, WARN or ERROR", n.LogLevel)
	}
	return invalid(mistakes)
}

// managementMistakes validates the settings of the platform's management interface and of
// what is enforced for client accounts.
func (n *Node) managementMistakes() []string {
	var mistakes []string
	add := func(format string, args ...any) { mistakes = append(mistakes, fmt.Sprintf(format, args...)) }
	if _, _, err := net.SplitHostPort(n.ManagementAddress); n.ManagementAddress != "" && err != nil {
		add("management-address: %q must be host:port", n.ManagementAddress)
	}
	if n.ManagementAddress != "" && n.HolderChange == 0 {
		add("holder-change: must be above zero if there is a management-address")
	}
	if n.ManagementRate <= 0 {
		add("management-rate: %g must be above zero", n.ManagementRate)
	}
	for _, duration := range []struct {
		setting string
		value   time.Duration
	}{{"key-revocation", n.KeyRevocation}, {"holder-change", n.HolderChange}, {"usage-window", n.UsageWindow}, {"usage-due", n.UsageDue}} {
		if duration.value < 0 {
			add("%s: %s must not be negative", duration.setting, duration.value)
		}
	}
	if n.MaxFiles < 0 {
		add("max-files: %d must not be negative", n.MaxFiles)
	}
	return mistakes
}

// Level returns the lowest log level that is written.
func (n *Node) Level() (slog.Level, error) {
	var level slog.Level
	err := level.UnmarshalText([]byte(n.LogLevel))
	return level, err
}

// Differences returns the names of the settings whose values differ between n and
// other.
func (n *Node) Differences(other *Node) []string {
	var names []string
	otherSettings := other.Settings()
	for i, setting := range n.Settings() {
		if setting.Text() != otherSettings[i].Text() {
			names = append(names, setting.Name)
		}
	}
	return names
}
