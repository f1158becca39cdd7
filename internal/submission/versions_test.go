package submission

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/submission/recordpb"
)

// requireOneVersion checks that each text names exactly the given version.
func requireOneVersion(t *testing.T, results []*recordpb.Result, version int64) {
	t.Helper()
	for _, result := range results {
		require.Equal(t, []int64{version}, result.GetVersions(), result.GetId())
	}
}

// waitForEvents waits until each item of a submission has an event.
func waitForEvents(t *testing.T, o *Owner, submission *recordpb.Submission) {
	t.Helper()
	require.Eventually(t, func() bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		for _, item := range submission.GetItems() {
			if i := o.items[item.GetId()]; i == nil || len(i.text.events) == 0 {
				return false
			}
		}
		return true
	}, testTimeout, pause)
}

// beginText runs an item of a single-version submission until its text has one event. Further
// events wait for f.gate.
func beginText(t *testing.T, f *fixture, s *Service, o *Owner) *recordpb.Submission {
	t.Helper()
	f.singleVersion()
	f.gate = make(chan struct{})
	s.StartOwner(o)
	submission := submissionOf("a", 1, 1, 1)
	require.NoError(t, s.Accept(context.Background(), testUnit, submission))
	f.gate <- struct{}{}
	waitForEvents(t, o, submission)
	return submission
}

// TestTextOfOneVersionDoesNotChangeItDuringARun guards against texts of a single-version
// route that go on under the weights which an engine has just loaded.
func TestTextOfOneVersionDoesNotChangeItDuringARun(t *testing.T) {
	f := newFixture(2)
	s, o := f.service(), f.owner(t, "n")
	submission := beginText(t, f, s, o)
	f.load(2)
	close(f.gate)
	f.report()
	results := allResults(t, s, "a", 1)
	requireComplete(t, f, submission, results)
	requireOneVersion(t, results, 2)
}

// TestTextOfOneVersionIsNotResumedUnderAnother guards against a new owner that resumes texts
// on engines which have loaded another version without its knowledge. No engine serves the
// texts' version any more, so they are generated again.
func TestTextOfOneVersionIsNotResumedUnderAnother(t *testing.T) {
	f := newFixture(2)
	s, first := f.service(), f.owner(t, "n1")
	submission := beginText(t, f, s, first)
	texts := s.TextsOf(testUnit)
	s.StopOwner(testUnit)
	f.load(2)
	close(f.gate)
	second := f.owner(t, "n2")
	second.Seed(texts)
	s.StartOwner(second)
	f.report()
	results := allResults(t, s, "a", 1)
	requireComplete(t, f, submission, results)
	requireOneVersion(t, results, 2)
}

// TestTextOfOneVersionIsContinuedWhereItsVersionIsServed checks that a text is not generated
// again while an engine serves its version.
func TestTextOfOneVersionIsContinuedWhereItsVersionIsServed(t *testing.T) {
	f := newFixture(2)
	s, o := f.service(), f.owner(t, "n")
	submission := beginText(t, f, s, o)
	o.mu.Lock()
	present := o.items["i0-0"].run.endpoint.ID
	o.mu.Unlock()
	f.mu.Lock()
	f.version[present] = 2
	f.mu.Unlock()
	close(f.gate)
	results := allResults(t, s, "a", 1)
	requireComplete(t, f, submission, results)
	requireOneVersion(t, results, 1)
	o.mu.Lock()
	defer o.mu.Unlock()
	require.Equal(t, []int{0, 1}, f.after["i0-0"])
}
