package claim

import "time"

// Defaults of Options.
const (
	// DefaultPartitions must be the same at all entries and must not change within a
	// window: with another count, retries would go to another partition.
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
	// MaxAnswerLimit is small enough that a group with any answer has space for other
	// rows.
	MaxAnswerLimit = 8 << 10
)

// Options configures a Server and a Router. Zero values select the defaults.
type Options struct {
	// Partitions is the number of partitions; it must be the same at all entries.
	Partitions uint32
	// Window is how long a claim is stored after it was made.
	Window time.Duration
	// CommitInterval is the minimum time between two writes of a partition, except for
	// a short burst after a pause.
	CommitInterval time.Duration
	// SettleDelay is how long an ending may be delayed so that a claim can share its
	// write.
	SettleDelay time.Duration
	// RetryInterval is the time between attempts of a failed write.
	RetryInterval time.Duration
	// CallTimeout limits one call to the platform's service or to another entry.
	CallTimeout time.Duration
	// QueueLimit is the maximum number of rows that wait for a write.
	QueueLimit int
	// ClaimLimit is the maximum number of claims that one partition stores. At the
	// limit, new claims are rejected until old ones leave the window.
	ClaimLimit int
	// AnswerLimit is the maximum size in bytes of a stored answer, at most
	// MaxAnswerLimit. Larger answers are not stored.
	AnswerLimit int
	// Alive reports whether another entry is believed to be alive. The partitions of an
	// entry that is not are taken over before its lease expires. If Alive is nil, the
	// takeover waits until the lease expires.
	Alive func(entry string) bool
	// AnswersLimit is the maximum total size in bytes of the answers that a partition
	// caches.
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

// sweepInterval is the time between two sweeps, each of one shard of a table. At this
// interval an expired claim is removed within an eighth of the window.
func (o Options) sweepInterval() time.Duration {
	return o.Window / (sweepsPerWindow * tableShards)
}

const sweepsPerWindow = 8
