# Development commands. They need only Go and make.
GO ?= go

.PHONY: build test lint generate check-generated race fuzz demo measure bench overhead soak

build:
	$(GO) build -o bin/ ./cmd/...

test:
	$(GO) test -count=1 -timeout 20m -skip '$(shell sh .ci/known-red)' $$($(GO) list ./... | grep -v '/e2e/crowd$$')
	$(GO) test -count=1 -timeout 20m -skip '$(shell sh .ci/known-red)' ./e2e/crowd # apart from other load

race:
	$(GO) test -count=1 -race -short -timeout 20m -skip '$(shell sh .ci/known-red)' ./internal/... ./platform/... ./trainer/...

lint:
	@test -z "$$(gofmt -l cmd docs internal platform e2e trainer)" || { gofmt -l cmd docs internal platform e2e trainer; echo "run gofmt -w"; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

generate:
	$(GO) run ./internal/tools/protogen internal/peer/peer.proto internal/peer/peerpb
	$(GO) run ./internal/tools/protogen internal/claim/claim.proto internal/claim/claimpb
	$(GO) run ./internal/tools/protogen internal/node/node.proto internal/node/nodepb
	$(GO) run ./internal/tools/protogen internal/submission/record.proto internal/submission/recordpb
	$(GO) run ./internal/tools/eventsdoc > docs/EVENTS.md

check-generated:
	@sh .ci/check-generated

demo:
	$(GO) run ./cmd/demo

measure:
	$(GO) run ./cmd/measure

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./internal/... ./platform/...

fuzz:
	@sh .ci/fuzz

overhead:
	$(GO) run ./cmd/overhead

soak:
	$(GO) run ./cmd/soak
