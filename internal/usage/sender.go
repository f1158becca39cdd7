package usage

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/wait"
)

// Times of passing counts on.
const (
	// minSendInterval is the shortest time between two sends of a process. The first change
	// after a longer time is sent at once.
	minSendInterval = 200 * time.Millisecond
	// sendIntervalPerProcess makes the interval grow with the number of processes, so that
	// the receiver's load does not.
	sendIntervalPerProcess = 5 * time.Millisecond
	sendTimeout            = 500 * time.Millisecond
)

// neverSent stands for the number of changes of a receiver to which nothing was sent.
const neverSent = -1

// Receiver is a process to which counts are passed.
type Receiver struct {
	Process Process
	// Send passes counts. It returns the oldest window whose report is not fixed yet, or zero
	// if the receiver does not know it.
	Send func(ctx context.Context, batches []Batch) (unreported Window, err error)
}

// SenderOptions configures a Sender.
type SenderOptions struct {
	Self    Process
	Counter *Counter
	// Collector contains what other processes passed to this one. A new receiver gets it too,
	// since some of those processes may have ended.
	Collector *Collector
	// Receivers returns the processes that shall have all counts: the holder of the reports
	// and the one that would take over from it.
	Receivers func() []Receiver
	// Processes returns the number of processes of the service.
	Processes func() int
	Logger    *slog.Logger
}

// Sender passes the counts of a process on.
type Sender struct {
	options SenderOptions
	// sending is held while counts are sent.
	sending sync.Mutex
	// received contains the number of changes that each current receiver has. A receiver in it
	// also has what this process collected before it became a receiver.
	received map[Process]int64
}

// NewSender returns a sender that has sent nothing.
func NewSender(options SenderOptions) *Sender {
	return &Sender{options: options, received: map[Process]int64{}}
}

// Run passes changes on until ctx ends.
func (s *Sender) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-s.options.Counter.Changed():
		case <-time.After(minSendInterval): // the receivers may have changed
		case <-ctx.Done():
			return
		}
		if s.send(ctx) {
			wait.For(ctx, s.interval())
		}
	}
}

// Flush passes on all changes so far. It returns when the receivers have them or ctx ends.
func (s *Sender) Flush(ctx context.Context) {
	for ctx.Err() == nil && s.send(ctx) && !s.complete() {
		wait.For(ctx, minSendInterval)
	}
}

// interval returns the time between two sends of this process.
func (s *Sender) interval() time.Duration {
	return max(minSendInterval, time.Duration(s.options.Processes())*sendIntervalPerProcess)
}

// complete reports whether all receivers have all changes.
func (s *Sender) complete() bool {
	s.sending.Lock()
	defer s.sending.Unlock()
	changes := s.options.Counter.Changes()
	for _, receiver := range s.options.Receivers() {
		if received, known := s.received[receiver.Process]; !known || received < changes {
			return false
		}
	}
	return true
}

// send sends each receiver what it lacks and reports whether there was anything to send.
func (s *Sender) send(ctx context.Context) bool {
	s.sending.Lock()
	defer s.sending.Unlock()
	changes := s.options.Counter.Changes()
	receivers := s.options.Receivers()
	received := make([]int64, len(receivers))
	var group sync.WaitGroup
	sent := false
	for i, receiver := range receivers {
		known := false
		if received[i], known = s.received[receiver.Process]; known && received[i] >= changes {
			continue
		}
		if !known {
			received[i] = neverSent
		}
		sent = true
		group.Go(func() { received[i] = s.sendTo(ctx, receiver, received[i]) })
	}
	group.Wait()
	clear(s.received)
	for i, receiver := range receivers {
		if received[i] != neverSent {
			s.received[receiver.Process] = received[i]
		}
	}
	return sent
}

// sendTo sends a receiver the changes after the given number and returns the number of
// changes that it has then.
func (s *Sender) sendTo(ctx context.Context, receiver Receiver, received int64) int64 {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	windows, changes := s.options.Counter.Since(max(received, 0))
	batches := []Batch{{Process: s.options.Self, Windows: windows}}
	if received == neverSent {
		batches = append(batches, s.options.Collector.Batches(s.options.Self)...)
	}
	if len(windows) == 0 && len(batches) == 1 {
		return changes
	}
	unreported, err := receiver.Send(ctx, batches)
	if err != nil {
		event.UsageNotPassedOn.Log(ctx, s.options.Logger, slog.String("receiver", receiver.Process.Node), slog.String("cause", err.Error()))
		return received
	}
	s.options.Counter.Forget(unreported)
	return changes
}
