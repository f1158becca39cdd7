package measure

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"time"

	protocol "github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/standin/engine"
)

// orderTime is the time until the deadline of an order, by which it must begin.
const orderTime = 10 * time.Second

// activate stages and activates a version on an engine.
func activate(e *engine.Server, version int64) {
	handler := e.Handler()
	order, err := json.Marshal(protocol.WeightOrder{Version: version, Fence: 1, Deadline: time.Now().Add(orderTime)})
	if err != nil {
		panic(err) // unreachable: the order is a plain struct
	}
	for _, path := range []string{protocol.PathStage, protocol.PathActivate} {
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, path, bytes.NewReader(order)))
	}
}
