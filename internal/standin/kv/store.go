package kv

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue/kvclient"
)

// DefaultHistory is the number of changes that a watch can go back.
const DefaultHistory = 4096

// store is the state of the service. Its methods are safe for concurrent use.
type store struct {
	now     func() time.Time
	history int

	mu        sync.Mutex
	revision  int64
	lastLease keyvalue.LeaseID
	keys      map[string]kvclient.Value
	leases    map[keyvalue.LeaseID]*lease
	changes   []kvclient.Change // in order of revision
	compacted int64             // the newest revision that is out of the history
	wake      chan struct{}     // closed at the next change
}

type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]bool
}

// failure is an error answer with its status.
type failure struct {
	status int
	body   kvclient.Failure
}

func fail(status int, code kvclient.ErrorCode, detail string) *failure {
	return &failure{status: status, body: kvclient.Failure{Code: code, Detail: detail}}
}

func newStore(now func() time.Time, history int) *store {
	return &store{
		now:     now,
		history: history,
		keys:    map[string]kvclient.Value{},
		leases:  map[keyvalue.LeaseID]*lease{},
		wake:    make(chan struct{}),
	}
}

func (s *store) get(key string) (kvclient.Value, *failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapseLocked()
	value, ok := s.keys[key]
	if !ok {
		return value, fail(404, kvclient.CodeNotFound, key)
	}
	return value, nil
}

func (s *store) list(prefix string) kvclient.ListReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapseLocked()
	reply := kvclient.ListReply{Values: []kvclient.Value{}, Revision: s.revision}
	for key, value := range s.keys {
		if strings.HasPrefix(key, prefix) {
			reply.Values = append(reply.Values, value)
		}
	}
	sort.Slice(reply.Values, func(i, j int) bool { return reply.Values[i].Key < reply.Values[j].Key })
	return reply
}

func (s *store) swap(req kvclient.SwapRequest) (kvclient.Value, *failure) {
	if req.Key == "" {
		return kvclient.Value{}, fail(400, kvclient.CodeInvalid, "empty key")
	}
	if len(req.Data) > kvclient.MaxValue {
		return kvclient.Value{}, fail(413, kvclient.CodeTooLarge, "value over 1 MiB")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapseLocked()
	old, exists := s.keys[req.Key]
	if old.Revision != req.Expect {
		return kvclient.Value{}, conflict(old, exists)
	}
	if _, alive := s.leases[req.Lease]; req.Lease != 0 && !alive {
		return kvclient.Value{}, fail(410, kvclient.CodeLeaseLapsed, "no such lease")
	}
	return s.putLocked(req, old), nil
}

func conflict(current kvclient.Value, exists bool) *failure {
	f := fail(409, kvclient.CodeConflict, "another revision")
	if exists {
		f.body.Current = &current
	}
	return f
}

func (s *store) putLocked(req kvclient.SwapRequest, old kvclient.Value) kvclient.Value {
	s.revision++
	value := kvclient.Value{Key: req.Key, Data: req.Data, CreateRevision: old.CreateRevision, Revision: s.revision, Lease: req.Lease}
	if old.Revision == 0 {
		value.CreateRevision = s.revision
	}
	s.detachLocked(old)
	if l, ok := s.leases[req.Lease]; ok {
		l.keys[req.Key] = true
	}
	s.keys[req.Key] = value
	s.recordLocked(kvclient.Change{Value: value})
	return value
}

func (s *store) detachLocked(value kvclient.Value) {
	if l, ok := s.leases[value.Lease]; ok {
		delete(l.keys, value.Key)
	}
}

func (s *store) delete(req kvclient.DeleteRequest) *failure {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapseLocked()
	old, exists := s.keys[req.Key]
	if !exists {
		return fail(404, kvclient.CodeNotFound, req.Key)
	}
	if old.Revision != req.Expect {
		return conflict(old, true)
	}
	s.removeLocked(old)
	return nil
}

func (s *store) removeLocked(value kvclient.Value) {
	s.revision++
	s.detachLocked(value)
	delete(s.keys, value.Key)
	s.recordLocked(kvclient.Change{Value: kvclient.Value{Key: value.Key, Revision: s.revision}, Deleted: true})
}

func (s *store) recordLocked(change kvclient.Change) {
	s.changes = append(s.changes, change)
	if excess := len(s.changes) - s.history; excess > 0 {
		s.compacted = s.changes[excess-1].Value.Revision
		s.changes = append([]kvclient.Change{}, s.changes[excess:]...)
	}
	close(s.wake)
	s.wake = make(chan struct{})
}

func (s *store) grant(ttl time.Duration) (keyvalue.LeaseID, *failure) {
	if ttl <= 0 {
		return 0, fail(400, kvclient.CodeInvalid, "lease time must be positive")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapseLocked()
	s.lastLease++
	s.leases[s.lastLease] = &lease{ttl: ttl, expires: s.now().Add(ttl), keys: map[string]bool{}}
	return s.lastLease, nil
}

func (s *store) keepAlive(id keyvalue.LeaseID) *failure {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapseLocked()
	l, ok := s.leases[id]
	if !ok {
		return fail(410, kvclient.CodeLeaseLapsed, "no such lease")
	}
	l.expires = s.now().Add(l.ttl)
	return nil
}

func (s *store) revoke(id keyvalue.LeaseID) *failure {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapseLocked()
	if _, ok := s.leases[id]; !ok {
		return fail(410, kvclient.CodeLeaseLapsed, "no such lease")
	}
	s.endLocked(id)
	return nil
}

// lapseLocked ends all leases whose time is over, in order of their lapse.
func (s *store) lapseLocked() {
	now := s.now()
	var due []keyvalue.LeaseID
	for id, l := range s.leases {
		if !l.expires.After(now) {
			due = append(due, id)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i] < due[j] })
	for _, id := range due {
		s.endLocked(id)
	}
}

func (s *store) endLocked(id keyvalue.LeaseID) {
	var keys []string
	for key := range s.leases[id].keys {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		s.removeLocked(s.keys[key])
	}
	delete(s.leases, id)
}

// watch waits for changes after from. An ended context ends the wait.
func (s *store) watch(ctx context.Context, req kvclient.WatchRequest) (kvclient.WatchReply, *failure) {
	timeout := time.After(time.Duration(req.WaitMillis) * time.Millisecond)
	for {
		reply, wake, lapse, f := s.poll(req)
		if f != nil || len(reply.Changes) > 0 {
			return reply, f
		}
		select {
		case <-ctx.Done():
			return reply, nil
		case <-timeout:
			return reply, nil
		case <-wake:
		case <-time.After(lapse):
		}
	}
}

// poll returns the changes so far, the channel that is closed at the next one,
// and the time until the next lease can lapse.
func (s *store) poll(req kvclient.WatchRequest) (kvclient.WatchReply, <-chan struct{}, time.Duration, *failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapseLocked()
	if req.From < s.compacted || req.From > s.revision {
		return kvclient.WatchReply{}, nil, 0, fail(410, kvclient.CodeCompacted, "revision is not in the history")
	}
	reply := kvclient.WatchReply{Changes: []kvclient.Change{}, Revision: s.revision}
	first := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].Value.Revision > req.From })
	for _, change := range s.changes[first:] {
		if strings.HasPrefix(change.Value.Key, req.Prefix) {
			reply.Changes = append(reply.Changes, change)
		}
	}
	return reply, s.wake, s.nextLapseLocked(), nil
}

// maxLapseCheck bounds the time between two looks at the leases.
const maxLapseCheck = time.Second

func (s *store) nextLapseLocked() time.Duration {
	next := maxLapseCheck
	for _, l := range s.leases {
		next = min(next, l.expires.Sub(s.now()))
	}
	return max(next, time.Millisecond)
}
