# The two commands of README are `make demo` and `make test`.
GO ?= go
BIN := bin

.PHONY: all build test race bench bench-virtual demo slopes spread overhead groups generate fmt

all: build

build: ## Build the four programs into bin/.
	$(GO) build -o $(BIN)/ ./cmd/...

test: ## Run every test, but for those that SKIP in the environment matches.
	$(GO) test $${SKIP:+-skip "$$SKIP"} ./...

# Packages with goroutines whose tests with the race detector take seconds. Those of e2e, relay, quarantine,
# peers and the soak take minutes: go test -race ./... by hand.
RACE_PACKAGES := ./daemon/... ./eventlog ./limits ./heldmemory/... ./catalog/... ./availability ./boundedconn ./pushlistener \
	./upstream ./stall/... ./crashprobe ./health ./balance ./ratelimit ./gateway ./agent ./admission

race: ## Run the tests of these packages with the race detector.
	$(GO) test -race $(RACE_PACKAGES)

demo: build ## Run the whole product on loopback for about half a minute.
	$(GO) run ./internal/demo --bin $(BIN)

bench: build ## Measure the default policy against its baselines, about half an hour; the table goes to standard output.
	$(GO) run ./internal/bench/run --bin $(BIN) --commit "$$(git rev-parse --short HEAD)" $(BENCHFLAGS)

slopes: build ## Measure what control costs each process, under five minutes.
	$(GO) run ./internal/slopes --bin $(BIN) $(SLOPEFLAGS)

spread: build ## Measure how a confirmed configuration spreads, under a minute.
	$(GO) run ./internal/experiment/spread --bin $(BIN) --commit "$$(git rev-parse --short HEAD)"

bench-virtual: ## The same comparison in one process under virtual time, a few minutes; the table goes to bin/bench-virtual.md.
	mkdir -p $(BIN)
	$(GO) test ./internal/bench -run TestVirtual -count 1 -timeout 30m -parallel 4 -v -policies \
		-commit "$$(git rev-parse --short HEAD)" -table $(CURDIR)/$(BIN)/bench-virtual.md $(BENCHFLAGS)

overhead: build ## Measure what gateway and agent add to the first token, ten seconds.
	$(GO) run ./internal/experiment/overhead --bin $(BIN)

groups: build ## Measure prompts of a million tokens with real processes, about five minutes.
	$(GO) run ./internal/experiment/groups --bin $(BIN) --commit "$$(git rev-parse --short HEAD)"

generate: ## Regenerate the inner protocol; needs protoc (Debian: protobuf-compiler).
	mkdir -p $(BIN)
	$(GO) build -o $(BIN)/ google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go
	PATH="$(CURDIR)/$(BIN):$$PATH" protoc --go_out=. --go_opt=module=github.com/micarudder/micarudder \
		--connect-go_out=. --connect-go_opt=module=github.com/micarudder/micarudder rudderv1/rudder.proto

fmt: ## Format the tree.
	gofmt -w $$(git ls-files '*.go')
