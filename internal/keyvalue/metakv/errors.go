package metakv

import (
	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
	"github.com/comfreyfront/comfreyfront/internal/metastore"
)

// readError converts an error of a read. A read without a response is ErrUnavailable,
// because a read has no effect.
func readError(err error) error {
	switch {
	case errorx.IsOfType(err, metastore.ErrNotFound):
		return keyvalue.ErrNotFound.Wrap(err, "read")
	case errorx.IsOfType(err, metastore.ErrCompacted):
		return keyvalue.ErrCompacted.Wrap(err, "watch")
	}
	return keyvalue.ErrUnavailable.Wrap(err, "read")
}

// writeError converts an error of a write; nil stays nil.
func writeError(err error) error {
	switch {
	case err == nil:
		return nil
	case errorx.IsOfType(err, metastore.ErrConflict):
		return keyvalue.ErrConflict.Wrap(err, "write")
	case errorx.IsOfType(err, metastore.ErrLeaseEnded):
		return keyvalue.ErrLeaseLapsed.Wrap(err, "write")
	case errorx.IsOfType(err, metastore.ErrUnavailable):
		return keyvalue.ErrUnavailable.Wrap(err, "write")
	}
	return keyvalue.ErrOutcomeUnknown.Wrap(err, "write")
}
