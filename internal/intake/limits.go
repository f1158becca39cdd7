package intake

import (
	"math"
	"syscall"
	"time"
)

// Limits are the bounds of a process.
type Limits struct {
	// Memory bounds the bytes of all bodies and answers together.
	Memory int64
	// Connections bounds the callers' connections, and ClientConnections those of one client
	// address; zero sets no bound on the latter.
	Connections, ClientConnections int
	// A body must arrive within BodyGrace and the time that it takes at BodyRate, in bytes a
	// second.
	BodyRate  int64
	BodyGrace time.Duration
	// WriteStall is the longest time in which a caller reads nothing, while an answer waits.
	WriteStall time.Duration
}

// Defaults of the limits.
const (
	DefaultBodyRate   = 64 << 10 // bytes a second
	DefaultBodyGrace  = 30 * time.Second
	DefaultWriteStall = 10 * time.Second
	// defaultMemory and defaultConnections apply to a process whose memory and descriptors are
	// not known.
	defaultMemory      = 256 << 20
	defaultConnections = 20_000
)

// Shares of the memory and descriptors of a process.
const (
	// memoryShare is the fraction of the memory for bodies and answers.
	memoryShare = 0.25
	// connectionShare is the fraction of the memory for connections, each of which needs
	// connectionBytes: its head, buffers and stacks.
	connectionShare = 0.15
	connectionBytes = 48 << 10
	// filesShare is the fraction of the descriptors for callers' connections. A request may need
	// two further ones, for calls of endpoints.
	filesShare = 0.3
	// ownFiles is how many descriptors are kept for the process itself, at most a fraction
	// ownFilesShare.
	ownFiles      = 200
	ownFilesShare = 0.25
)

// Derive returns the limits of a process with the given memory in bytes and number of descriptors;
// zero means that they are not known.
func Derive(memory int64, files int) Limits {
	limits := Limits{}
	if memory > 0 {
		limits.Memory = int64(memoryShare * float64(memory))
		limits.Connections = int(connectionShare * float64(memory) / connectionBytes)
	}
	if files > 0 {
		own := min(ownFiles, int(ownFilesShare*float64(files)))
		byFiles := max(1, int(filesShare*float64(files-own)))
		if limits.Connections == 0 || byFiles < limits.Connections {
			limits.Connections = byFiles
		}
	}
	return limits.orDefaults()
}

// orDefaults returns the limits with defaults in place of those that are not set.
func (l Limits) orDefaults() Limits {
	if l.Memory <= 0 {
		l.Memory = defaultMemory
	}
	if l.Connections <= 0 {
		l.Connections = defaultConnections
	}
	if l.BodyRate <= 0 {
		l.BodyRate = DefaultBodyRate
	}
	if l.BodyGrace <= 0 {
		l.BodyGrace = DefaultBodyGrace
	}
	if l.WriteStall <= 0 {
		l.WriteStall = DefaultWriteStall
	}
	return l
}

// FileLimit returns the number of descriptors that the process may open: the given one, or that of
// the operating system if it is zero.
func FileLimit(files int) int {
	if files > 0 {
		return files
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}
