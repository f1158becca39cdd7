package node

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/metastore"
	"github.com/comfreyfront/comfreyfront/internal/node/nodepb"
)

// errorTypes maps the failures that nodes send each other to the error types of the
// metadata store.
var errorTypes = map[nodepb.StoreReply_Failure]*errorx.Type{
	nodepb.StoreReply_NOT_FOUND:   metastore.ErrNotFound,
	nodepb.StoreReply_CONFLICT:    metastore.ErrConflict,
	nodepb.StoreReply_LEASE_ENDED: metastore.ErrLeaseEnded,
	nodepb.StoreReply_COMPACTED:   metastore.ErrCompacted,
	nodepb.StoreReply_UNAVAILABLE: metastore.ErrUnavailable,
	nodepb.StoreReply_UNKNOWN:     metastore.ErrUnknown,
	nodepb.StoreReply_OVER_RATE:   metastore.ErrOverRate,
}

// failureOf returns the failure that represents an error of the metadata store in a
// reply to another node.
func failureOf(err error) nodepb.StoreReply_Failure {
	if err == nil {
		return nodepb.StoreReply_NONE
	}
	if errorx.IsOfType(err, metastore.ErrOverRate) {
		return nodepb.StoreReply_OVER_RATE // it is of type ErrUnavailable too
	}
	for name, kind := range errorTypes {
		if errorx.IsOfType(err, kind) {
			return name
		}
	}
	return nodepb.StoreReply_UNKNOWN
}

// peerStore is a metastore.Store that relays its calls through another node.
type peerStore struct {
	client nodepb.Node
	// cached requests data from the caches of the other node instead of the store.
	cached bool
	// age is the age in the last reply; see freshness.OfReply.
	age int64
}

var _ metastore.Store = (*peerStore)(nil)

func (s *peerStore) call(ctx context.Context, request *nodepb.StoreRequest) (*nodepb.StoreReply, error) {
	request.Cached = s.cached
	reply, err := s.client.Store(ctx, request)
	if s.cached {
		s.age = reply.GetAgeUs()
	}
	if err != nil {
		return nil, metastore.ErrUnknown.Wrap(err, "no response from the peer")
	}
	if kind, failed := errorTypes[reply.GetFailure()]; failed {
		return nil, kind.New("%s", reply.GetDetail())
	}
	return reply, nil
}

// Get implements metastore.Store.
func (s *peerStore) Get(ctx context.Context, key string) (metastore.Item, error) {
	reply, err := s.call(ctx, &nodepb.StoreRequest{Method: nodepb.StoreRequest_GET, Key: key})
	if err != nil {
		return metastore.Item{}, err
	}
	for _, item := range reply.GetItems() {
		return itemOf(item), nil
	}
	return metastore.Item{}, metastore.ErrUnknown.New("the peer sent an empty response")
}

// Range implements metastore.Store.
func (s *peerStore) Range(ctx context.Context, prefix, after string) (metastore.Page, error) {
	reply, err := s.call(ctx, &nodepb.StoreRequest{Method: nodepb.StoreRequest_RANGE, Key: prefix, AfterKey: after})
	if err != nil {
		return metastore.Page{}, err
	}
	page := metastore.Page{More: reply.GetMore(), Revision: reply.GetRevision()}
	for _, item := range reply.GetItems() {
		page.Items = append(page.Items, itemOf(item))
	}
	return page, nil
}

// Watch implements metastore.Store.
func (s *peerStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]metastore.Event, int64, error) {
	reply, err := s.call(ctx, &nodepb.StoreRequest{
		Method: nodepb.StoreRequest_WATCH, Key: prefix, After: after, Milliseconds: wait.Milliseconds(),
	})
	if err != nil {
		return nil, 0, err
	}
	events := make([]metastore.Event, 0, len(reply.GetItems()))
	for _, item := range reply.GetItems() {
		events = append(events, metastore.Event{Item: itemOf(item), Deleted: item.GetDeleted()})
	}
	return events, reply.GetRevision(), nil
}

// Commit implements metastore.Store.
func (s *peerStore) Commit(ctx context.Context, txn metastore.Txn) (int64, error) {
	request := &nodepb.StoreRequest{Method: nodepb.StoreRequest_COMMIT, Deletes: txn.Deletes}
	for _, condition := range txn.Conditions {
		request.Conditions = append(request.Conditions, &nodepb.Condition{Key: condition.Key, Revision: condition.Revision})
	}
	for _, put := range txn.Puts {
		request.Puts = append(request.Puts, &nodepb.Item{Key: put.Key, Value: put.Value, Lease: put.Lease})
	}
	reply, err := s.call(ctx, request)
	return reply.GetRevision(), err
}

// Grant implements metastore.Store.
func (s *peerStore) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	reply, err := s.call(ctx, &nodepb.StoreRequest{Method: nodepb.StoreRequest_GRANT, Milliseconds: ttl.Milliseconds()})
	return reply.GetRevision(), err
}

// Renew implements metastore.Store.
func (s *peerStore) Renew(ctx context.Context, lease int64) error {
	_, err := s.call(ctx, &nodepb.StoreRequest{Method: nodepb.StoreRequest_RENEW, Lease: lease})
	return err
}

// End implements metastore.Store.
func (s *peerStore) End(ctx context.Context, lease int64) error {
	_, err := s.call(ctx, &nodepb.StoreRequest{Method: nodepb.StoreRequest_END, Lease: lease})
	return err
}

func itemOf(item *nodepb.Item) metastore.Item {
	return metastore.Item{Key: item.GetKey(), Value: item.GetValue(), Revision: item.GetRevision(), Lease: item.GetLease()}
}

func wireItemOf(item metastore.Item) *nodepb.Item {
	return &nodepb.Item{Key: item.Key, Value: item.Value, Revision: item.Revision, Lease: item.Lease}
}

// serveStore executes a peer's call on a store.
func serveStore(ctx context.Context, store metastore.Store, request *nodepb.StoreRequest) *nodepb.StoreReply {
	reply := &nodepb.StoreReply{}
	var err error
	switch request.GetMethod() {
	case nodepb.StoreRequest_GET:
		var item metastore.Item
		item, err = store.Get(ctx, request.GetKey())
		reply.Items = []*nodepb.Item{wireItemOf(item)}
	case nodepb.StoreRequest_RANGE:
		var page metastore.Page
		page, err = store.Range(ctx, request.GetKey(), request.GetAfterKey())
		reply.More, reply.Revision = page.More, page.Revision
		for _, item := range page.Items {
			reply.Items = append(reply.Items, wireItemOf(item))
		}
	case nodepb.StoreRequest_WATCH:
		var events []metastore.Event
		events, reply.Revision, err = store.Watch(ctx, request.GetKey(), request.GetAfter(), time.Duration(request.GetMilliseconds())*time.Millisecond)
		for _, e := range events {
			item := wireItemOf(e.Item)
			item.Deleted = e.Deleted
			reply.Items = append(reply.Items, item)
		}
	case nodepb.StoreRequest_COMMIT:
		reply.Revision, err = store.Commit(ctx, txnOf(request))
	case nodepb.StoreRequest_GRANT:
		reply.Revision, err = store.Grant(ctx, time.Duration(request.GetMilliseconds())*time.Millisecond)
	case nodepb.StoreRequest_RENEW:
		err = store.Renew(ctx, request.GetLease())
	case nodepb.StoreRequest_END:
		err = store.End(ctx, request.GetLease())
	}
	if err != nil {
		return &nodepb.StoreReply{Failure: failureOf(err), Detail: err.Error()}
	}
	return reply
}

func txnOf(request *nodepb.StoreRequest) metastore.Txn {
	txn := metastore.Txn{Deletes: request.GetDeletes()}
	for _, condition := range request.GetConditions() {
		txn.Conditions = append(txn.Conditions, metastore.Condition{Key: condition.GetKey(), Revision: condition.GetRevision()})
	}
	for _, put := range request.GetPuts() {
		txn.Puts = append(txn.Puts, metastore.Put{Key: put.GetKey(), Value: put.GetValue(), Lease: put.GetLease()})
	}
	return txn
}
