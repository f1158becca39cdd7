package step

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/ownership"
	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
	"github.com/comfreyfront/comfreyfront/internal/step/wire"
)

// alwaysOwner owns every unit.
type alwaysOwner struct{}

func (alwaysOwner) Acquire(_ context.Context, unit string) (ownership.Tenure, error) {
	return ownership.Tenure{Unit: unit, Epoch: 1}, nil
}
func (alwaysOwner) Valid(ownership.Tenure) bool           { return true }
func (alwaysOwner) Release(context.Context, string) error { return nil }

// blockingGenerator generates nothing and blocks until ctx ends.
type blockingGenerator struct{}

func (blockingGenerator) Generate(ctx context.Context, _ GenerateRequest) (Generation, error) {
	<-ctx.Done()
	return Generation{}, ctx.Err()
}

// FuzzCall passes arbitrary input to the calls of trainers and to the handover call
// between entries. Each must succeed or fail with a client error such as 400 or 421.
func FuzzCall(f *testing.F) {
	f.Add(http.MethodPost, "/v1/steps", []byte(`{"trainer":"t","step":1,"model":"m","class":"c","groups":[{"prompt":"p","size":2,"max_tokens":4}],"holds":[{"group":0,"from":0,"to":1}]}`))
	f.Add(http.MethodPost, "/v1/steps/t/1/pull", []byte(`{"pull":1,"holds":[{"group":0,"from":1,"to":9}]}`))
	f.Add(http.MethodPost, "/v1/steps/t/1/confirm", []byte(`{"holds":[{"group":-1,"from":-5,"to":0}]}`))
	f.Add(http.MethodGet, "/v1/steps/t/1", []byte(``))
	f.Add(http.MethodDelete, "/v1/steps/t/99999999999999999999", []byte(`{`))
	f.Add(methodHandOver, "/v1/steps/t/1", []byte(`{"create":{"trainer":"t","step":1,"model":"m","class":"c","groups":[{"prompt":"p","size":1,"max_tokens":4}]},"samples":[{"group":7}],"partials":[{"group":0,"index":0,"tokens":1}]}`))
	f.Fuzz(func(t *testing.T, method, path string, body []byte) {
		service := NewService(Options{Owner: alwaysOwner{}, Generator: blockingGenerator{}, Concurrency: 2})
		defer func() { require.NoError(t, service.Drain(context.Background())) }()
		_, err := service.Create(t.Context(), &wire.CreateRequest{Spec: testSpec})
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		cancel() // so that a pull returns at once
		result := service.Call(ctx, &peerpb.StepCall{Method: method, Path: path, Body: body})
		require.Less(t, result.Status, int32(http.StatusInternalServerError))
	})
}
