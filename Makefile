GO ?= go

.PHONY: demo test build lint generate bench capacity soak

# Starts stand-ins and four hosts on loopback and sends requests through them.
demo: build
	bash scripts/demo.sh

# Runs the formatter check, vet, the linter, the build and all tests with the race detector.
test: lint build
	bash scripts/test.sh

build:
	$(GO) build -o bin/ ./cmd/...

lint:
	@unformatted=$$(gofmt -l cmd internal platform); if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# Regenerates the committed protobuf code; needs protoc (Debian package protobuf-compiler).
generate:
	$(GO) build -o bin/tools/ google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc
	PATH="$(CURDIR)/bin/tools:$$PATH" protoc --go_out=. --go_opt=module=github.com/sapphirehaven/sapphirehaven internal/logpb/record.proto
	PATH="$(CURDIR)/bin/tools:$$PATH" protoc --go_out=. --go_opt=module=github.com/sapphirehaven/sapphirehaven \
		--go-drpc_out=. --go-drpc_opt=module=github.com/sapphirehaven/sapphirehaven internal/peerpb/peer.proto

# Runs host processes under faults with fresh seeds, for some four minutes. SEED=N repeats a run.
soak: build
	bin/sapphirectl soak -continue -count 8 -seed $(or $(SEED),$(shell date +%s))

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./internal/...

# Measures the slopes on two cores and makes the tables of the page again.
capacity:
	GOMAXPROCS=2 $(GO) run ./cmd/capacity -write docs/CAPACITY.md
