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
	LogLevel string
}

// Defaults and lower limits of a node's settings.
const (
	defaultGrace      = 8 * time.Second
	defaultLeaseTTL   = 1200 * time.Millisecond
	defaultStatusLife = 2 * time.Minute
	defaultMemoryMB   = 256
	defaultCapacity   = 1.0
	minMemoryMB       = 32
	minLeaseTTL       = time.Second
)

// DefaultNode returns the default settings of a node.
func DefaultNode() *Node {
	return &Node{
		Grace: defaultGrace, LeaseTTL: defaultLeaseTTL, StatusLife: defaultStatusLife,
		MemoryMB: defaultMemoryMB, Capacity: defaultCapacity, LogLevel: slog.LevelInfo.String(),
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
	return []Setting{
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
		textSetting("log-level", "DEBUG, INFO, WARN or ERROR", &n.LogLevel),
	}
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
	if n.MemoryMB < minMemoryMB {
		add("memory: %d must be at least %d", n.MemoryMB, minMemoryMB)
	}
	if _, err := n.Level(); err != nil {
		add("log-level: %q must be DEBUG, INFO, WARN or ERROR", n.LogLevel)
	}
	return invalid(mistakes)
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
