package report

import (
	"context"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/control"
	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
)

// The interval between two digests is a base plus an extra per peer, so that the
// exchange of a large fleet keeps up.
const (
	digestInterval        = 2 * time.Second
	digestIntervalPerPeer = 100 * time.Millisecond
)

// DigestSetter accepts this entry's figures. control.Manager implements it.
type DigestSetter interface {
	SetDigests(ctx context.Context, digests []*peerpb.ClassDigest)
}

// Publish periodically passes the digests of the recorder and of the steps to the
// control goroutine until ctx ends.
func Publish(ctx context.Context, recorder *Recorder, snapshots *control.Snapshots, steps StepSource, setter DigestSetter) error {
	for {
		snapshot := snapshots.Load()
		digests := recorder.Digests(snapshot.Classes)
		demotions := demoted(snapshot)
		for _, digest := range digests {
			digest.Demotions = demotions
		}
		addSteps(digests, steps.Statuses())
		setter.SetDigests(ctx, digests)
		timer := time.NewTimer(digestInterval + time.Duration(len(snapshot.Peers))*digestIntervalPerPeer)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}

// demoted counts the endpoints that get less work because they are slow.
func demoted(snapshot *control.Snapshot) int64 {
	var count int64
	for _, endpoints := range snapshot.Endpoints {
		count += countSlow(endpoints)
	}
	return count
}
