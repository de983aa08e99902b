# make demo   run a small fleet with stand-ins on loopback
# make test   run all checks of CI
GO      ?= go
BIN     := bin
TESTTIME := 20m

.PHONY: all build tools test fmt vet lint unit check-model demo soak generate clean \
	soak-platform bench bench-entry bench-control bench-grants bench-routing slopes

all: build

build:
	@mkdir -p $(BIN)
	$(GO) build -o $(BIN)/ ./cmd/...

# tools installs what the tests need and the machine lacks, or says what to install.
tools:
	@./scripts/tools.sh go gcc spin

test: tools fmt vet lint unit check-model

fmt:
	@bad=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$bad" ]; then echo "not formatted:"; echo "$$bad"; exit 1; fi

vet:
	$(GO) vet ./...

lint:
	$(GO) tool staticcheck ./...

unit:
	@./scripts/unit.sh $(TESTTIME)

check-model:
	@./spec/check.sh

demo:
	@./scripts/tools.sh go gcc
	@$(MAKE) --no-print-directory build
	@./scripts/demo.sh

# make soak MINUTES=10 SEED=1
# Runs load with random faults against a fleet on loopback.
MINUTES := 10
SEED    := 1
soak: build
	@./scripts/soak.sh $(MINUTES) $(SEED)

# bench           run all benchmarks, one after the other
bench: bench-entry bench-control bench-grants bench-routing

bench-entry:
	$(GO) test -run '^$$' -bench 'Added|Requests|Tokens|Idle|Decode' -benchtime 200x ./internal/entry

bench-control:
	$(GO) test -run '^$$' -bench Commits -benchtime 3000x ./internal/controld
	$(GO) test -run '^$$' -bench LeaderGap -benchtime 8x ./internal/controld
	$(GO) test -run '^$$' -bench InForce -benchtime 40x ./internal/controld
	$(GO) test -run '^$$' -bench Idle -benchtime 1x ./internal/controld
	$(GO) test -run '^$$' -bench Recovery -benchtime 3x ./internal/controld

bench-grants:
	$(GO) test -run '^$$' -bench Experiment -benchtime 1x ./internal/grants
	$(GO) test -run '^$$' -bench Claims -benchtime 2000x ./internal/journal

# bench-routing   compare the routing policy with baselines and write plots
bench-routing:
	@mkdir -p docs/results
	$(GO) run ./cmd/eelgrass-policybench --plots docs/results

# slopes          run the benchmarks from which docs/CAPACITY.md is computed
slopes:
	$(GO) test -run '^$$' -bench 'Requests|Tokens|Decode' -benchtime 1s ./internal/entry
	$(GO) test -run '^$$' -bench Idle -benchtime 1x ./internal/entry ./internal/controld
	$(GO) test -run '^$$' -bench 'Change|View|EndpointDelta' -benchtime 100x ./internal/state
	$(GO) test -run '^$$' -bench 'OwnerSync|Reserve' ./internal/grants
	$(GO) test -run '^$$' -bench RecordMemory -benchtime 1x ./internal/journal
	$(GO) test -run '^$$' -bench . -benchmem -benchtime 0.3s ./internal/routing

generate:
	./proto/generate.sh

clean:
	rm -rf $(BIN)

# make soak-platform SEED=1 SEEDS=50 SECONDS=12
# Injects random faults into the daemons in platform mode.
SEEDS   := 50
SECONDS := 12
soak-platform:
	$(GO) test -timeout 3h -count 1 -v -run TestSoak ./internal/onplatform \
	  -soak.seed $(SEED) -soak.seeds $(SEEDS) -soak.seconds $(SECONDS)
