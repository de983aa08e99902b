# make demo   set up and run the whole path on loopback
# make test   everything CI checks
GO      ?= go
BIN     := bin
TESTTIME := 8m

.PHONY: all build test fmt vet lint unit check-model demo bench bench-routing slopes soak generate clean

all: build

build:
	@mkdir -p $(BIN)
	$(GO) build -o $(BIN)/ ./cmd/...

test: fmt vet lint unit check-model

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

demo: build
	@./scripts/demo.sh

# make soak MINUTES=10 SEED=1
MINUTES := 10
SEED    := 1
soak: build
	@./scripts/soak.sh $(MINUTES) $(SEED)
# bench-routing   the routing policy against baselines, with plots

bench-routing:
	@mkdir -p docs/results
	$(GO) run ./cmd/eelgrass-policybench --plots docs/results
	$(GO) test -run '^$$' -bench . -benchmem ./internal/routing

generate:
	./proto/generate.sh

clean:
	rm -rf $(BIN)
