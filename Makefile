# Commands for users and CI. `make demo` and `make test` need only Go and the module proxy.
MODULES := ./... ./api/... ./lab/...
# Test names listed in KNOWN-RED.txt, joined as a regular expression for -skip.
KNOWN_RED := $(shell grep -v '^\#' KNOWN-RED.txt | cut -d'|' -f1 | tr -d ' ' | grep . | sed 's/.*/^&$$/' | paste -sd'|')
# Time limit for the tests of one package. Those of platform take minutes with the race
# detector, and more beside other load.
TEST_TIMEOUT := 20m

.PHONY: build test demo generate fmt

build:
	go build -o bin/ ./cmd/...

test:
	@grep -v '^#' KNOWN-RED.txt | sed 's/^/known failure, not run: /' || true
	go test -race -timeout $(TEST_TIMEOUT) $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') $(MODULES)

demo: build
	bash scripts/demo.sh

# Needs protoc from Debian's protobuf-compiler; the result is committed.
generate:
	bash scripts/generate.sh

fmt:
	gofmt -w $$(git ls-files '*.go')
