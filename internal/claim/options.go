package claim

import "time"

// Defaults of Options.
const (
	// DefaultPartitions must be the same at all entries and for as long as the
	// window: another count would send repeats to another partition.
	DefaultPartitions     = 16
	DefaultWindow         = 24 * time.Hour
	DefaultCommitInterval = 100 * time.Millisecond
	DefaultSettleDelay    = 500 * time.Millisecond
	DefaultRetryInterval  = 500 * time.Millisecond
	DefaultCallTimeout    = 2 * time.Second
	DefaultQueueLimit     = 4096
	DefaultClaimLimit     = 1_200_000
	DefaultAnswerLimit    = 2 << 10
	DefaultAnswersLimit   = 8 << 20
	// MaxAnswerLimit lets any answer share a group with other rows.
	MaxAnswerLimit = 8 << 10
)

// Options of a Server and a Router. The zero value takes the defaults.
type Options struct {
	// Partitions is the number of partitions of the fleet.
	Partitions uint32
	// Window is how long a key is remembered after it was claimed.
	Window time.Duration
	// CommitInterval is the least time between two writes of a partition, but
	// for a few after a pause.
	CommitInterval time.Duration
	// SettleDelay is how long an ending may wait for a claim to share its write.
	SettleDelay time.Duration
	// RetryInterval is the time between tries of a write that failed.
	RetryInterval time.Duration
	// CallTimeout bounds one call of the platform's service or of another entry.
	CallTimeout time.Duration
	// QueueLimit is the number of rows that may wait for a write.
	QueueLimit int
	// ClaimLimit is the number of claims that one partition remembers; beyond
	// it new ones are refused until old ones leave the window.
	ClaimLimit int
	// AnswerLimit is the size in bytes of an answer that is kept, at most
	// MaxAnswerLimit.
	AnswerLimit int
	// Alive reports whether another entry is believed to live; partitions of one
	// that is not are taken over before its lease lapses. Nil waits for the lease.
	Alive func(entry string) bool
	// AnswersLimit is the size in bytes of all answers that a partition keeps.
	AnswersLimit int
}

func (o Options) withDefaults() Options {
	setDefault(&o.Partitions, DefaultPartitions)
	setDefault(&o.Window, DefaultWindow)
	setDefault(&o.CommitInterval, DefaultCommitInterval)
	setDefault(&o.SettleDelay, DefaultSettleDelay)
	setDefault(&o.RetryInterval, DefaultRetryInterval)
	setDefault(&o.CallTimeout, DefaultCallTimeout)
	setDefault(&o.QueueLimit, DefaultQueueLimit)
	setDefault(&o.ClaimLimit, DefaultClaimLimit)
	setDefault(&o.AnswerLimit, DefaultAnswerLimit)
	setDefault(&o.AnswersLimit, DefaultAnswersLimit)
	o.AnswerLimit = min(o.AnswerLimit, MaxAnswerLimit)
	return o
}

func setDefault[T ~int | ~int64 | ~uint32](option *T, value T) {
	if *option <= 0 {
		*option = value
	}
}

// sweepEvery is the time between two sweeps of a part of a table, so that a
// claim stays for at most an eighth of the window after it has expired.
func (o Options) sweepEvery() time.Duration {
	return o.Window / (sweepsPerWindow * tableShards)
}

const sweepsPerWindow = 8
