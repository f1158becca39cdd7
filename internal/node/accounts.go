package node

import (
	"net/http"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/account"
)

// refusalOfKey returns the status for a request that was refused for its key and the delay
// after which the caller should retry. It returns false for any other error.
func refusalOfKey(err error) (status int, after time.Duration, ok bool) {
	reason, ok := account.RefusalOf(err)
	switch {
	case !ok:
		return 0, 0, false
	case reason == account.RefusedUncertain:
		return http.StatusServiceUnavailable, retryAfterStoreOutage, true
	}
	return http.StatusUnauthorized, 0, true
}
