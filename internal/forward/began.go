package forward

import (
	"time"

	"github.com/comfreyfront/comfreyfront/internal/call"
)

// noteBegin records that an attempt which ended with err may have run. An attempt that broke
// off counts too: most of these endpoints had begun to run the request.
func (x *requestRun) noteBegin(a attempt, err error) {
	if call.NotRun(err) || call.Is(err, call.ErrRejected) {
		return
	}
	if x.began.IsZero() || a.sent.Before(x.began) {
		x.began = a.sent
	}
}

// reportBegin reports the request if one of its attempts may have run. It counts once,
// however many attempts it had.
func (x *requestRun) reportBegin() {
	for _, a := range x.open {
		x.noteBegin(a, nil)
	}
	if !x.began.IsZero() {
		x.service.reportBegin(x.request, time.Since(x.began))
	}
}

// reportBegin reports a request that began to run that long ago.
func (s *Service) reportBegin(request *call.Request, ago time.Duration) {
	if s.Began != nil {
		s.Began(request, ago)
	}
}
