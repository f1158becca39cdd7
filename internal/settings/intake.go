package settings

import (
	"time"

	"github.com/comfreyfront/comfreyfront/internal/intake"
)

// Intake holds the settings of the bounds on callers. Zero leaves a bound at its default, which for
// MemoryMB and Connections follows from the memory and the descriptors.
type Intake struct {
	MemoryMB          int
	Connections       int
	ClientConnections int
	BodyRateKB        int
	BodyGrace         time.Duration
	WriteStall        time.Duration
}

// defaultIntake returns the default bounds on callers.
func defaultIntake() Intake {
	return Intake{BodyRateKB: intake.DefaultBodyRate >> 10, BodyGrace: intake.DefaultBodyGrace, WriteStall: intake.DefaultWriteStall}
}

// Limits returns the bounds of a process with the given memory in bytes and number of descriptors;
// zero means that they are not known.
func (i Intake) Limits(memory int64, files int) intake.Limits {
	limits := intake.Derive(memory, files)
	if i.MemoryMB > 0 {
		limits.Memory = int64(i.MemoryMB) << 20
	}
	if i.Connections > 0 {
		limits.Connections = i.Connections
	}
	limits.ClientConnections = i.ClientConnections
	limits.BodyRate, limits.BodyGrace, limits.WriteStall = int64(i.BodyRateKB)<<10, i.BodyGrace, i.WriteStall
	return limits
}

// settings lists the settings of the bounds for a node.
func (i *Intake) settings() []Setting {
	return []Setting{
		integerSetting("intake-memory", "memory for the bodies of all callers and for answers that wait for them, in MB; 0: a quarter of the memory", &i.MemoryMB),
		integerSetting("intake-connections", "connections of callers; 0: as many as the memory and the descriptors allow", &i.Connections),
		integerSetting("intake-client-connections", "connections of one client address; 0: no bound, as behind a load balancer", &i.ClientConnections),
		integerSetting("intake-body-rate", "rate at which a body must arrive on average after intake-body-grace, in KB a second", &i.BodyRateKB),
		durationSetting("intake-body-grace", "time that any body may take, such as 30s, or in seconds", &i.BodyGrace, time.Second),
		durationSetting("intake-write-stall", "time after which a caller that reads none of its answer is disconnected, such as 10s, or in seconds", &i.WriteStall, time.Second),
	}
}

// mistakes returns what is wrong with the settings.
func (i Intake) mistakes() []string {
	var mistakes []string
	for _, s := range []struct {
		name     string
		negative bool
	}{
		{"intake-memory", i.MemoryMB < 0}, {"intake-connections", i.Connections < 0},
		{"intake-client-connections", i.ClientConnections < 0}, {"intake-body-rate", i.BodyRateKB < 0},
		{"intake-body-grace", i.BodyGrace < 0}, {"intake-write-stall", i.WriteStall < 0},
	} {
		if s.negative {
			mistakes = append(mistakes, s.name+" must not be negative")
		}
	}
	return mistakes
}
