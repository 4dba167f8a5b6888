MODULES := shared platform bluebellport bluebellctl bluebellstand e2e
PACKAGES := $(addprefix ./,$(addsuffix /...,$(MODULES)))
VERSION ?= $(shell git describe --tags --always 2>/dev/null || echo dev)
export PATH := $(PATH):$(shell go env GOPATH)/bin

.PHONY: build demo test model faults bench lint fmt generate man tools

build:
	go build -ldflags "-X bluebellport.example/shared/bbunit.Version=$(VERSION)" -o bin/ ./bluebellport ./bluebellctl ./bluebellstand

demo: build
	demo/demo.sh
	demo/native.sh

test:
	go test -race -count=1 -timeout 20m $(PACKAGES)

model:
	model/check.sh

faults: build
	go test -count=1 -timeout 20m -run Faults -v ./e2e -faults

bench: build
	go test -run '^$$' -bench . -benchmem ./shared/... ./bluebellport/src
	go test -count=1 -timeout 20m -run Bench -v ./e2e -bench-processes

lint:
	test -z "$$(gofumpt -l $(MODULES))" || { gofumpt -l $(MODULES); exit 1; }
	revive -config revive.toml -set_exit_status $(PACKAGES)
	go vet $(PACKAGES)

fmt:
	gofumpt -w $(MODULES)

generate:
	cd shared && go generate ./...

# Built with a fixed version, so that the pages change only when the settings do.
man:
	@dir=$$(mktemp -d) && trap 'rm -rf "$$dir"' EXIT && \
	go build -ldflags "-X bluebellport.example/shared/bbunit.Version=unversioned" -o "$$dir/" ./bluebellport ./bluebellctl ./bluebellstand && \
	for p in bluebellport bluebellctl bluebellstand; do "$$dir/$$p" --help-man >man/$$p.1 || exit 1; done

tools:
	go install mvdan.cc/gofumpt@v0.12.0
	go install github.com/mgechev/revive@v1.17.0
