GO ?= go
# A package whose tests play hundreds of orders of events takes some minutes under the race
# detector, and more beside other work.
TEST_TIMEOUT ?= 40m
export GOTOOLCHAIN = local

.PHONY: build run up upgrade test known-red lint generate overhead slopes measure ablate play

build:
	$(GO) build -o bin/ ./cmd/...

# The quick start: a small deployment as separate processes, and one session.
run: build
	$(GO) run ./test/quickstart -bin bin

# The same deployment, left running until interrupted.
up: build
	$(GO) run ./test/quickstart -bin bin -keep

# Replaces the programs of a running deployment, one instance after the other, by those of
# this tree, and puts those of another build back: make upgrade OLD=DIR
upgrade: build
	$(GO) run ./test/upgrade -from $(OLD) -to bin

lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; echo "gofmt: files above are not formatted"; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# Tests that fail for a known fault: the names before the colons of KNOWN-RED.txt. They
# are printed and run, but do not decide.
KNOWN_RED := $(shell cut -d: -f1 KNOWN-RED.txt 2>/dev/null | paste -sd '|' -)
ifneq ($(KNOWN_RED),)
ONLY_GREEN := -skip '^($(KNOWN_RED))$$'

known-red:
	@cat KNOWN-RED.txt
	-$(GO) test -count=1 -run '^($(KNOWN_RED))$$' ./...
else
known-red:
	@echo "no known red tests"
endif

# Every test runs twice in random order. The race detector gets one processor:
# with several, that of Go 1.26 crashes in tests under virtual time.
test: lint build known-red
	$(GO) test -race -cpu=1 -shuffle=on -count=1 -timeout=$(TEST_TIMEOUT) $(ONLY_GREEN) ./...
	$(GO) test -shuffle=on -count=1 -timeout=$(TEST_TIMEOUT) $(ONLY_GREEN) ./...

# Needs buf, protoc-gen-go and protoc-gen-go-drpc.
generate:
	buf generate

# What an entry adds to a request, and what a look-up costs.
overhead: build
	$(GO) run ./test/overhead -bin bin

# What the parts cost against their size; docs/CAPACITY.md is made from it.
slopes: build
	$(GO) run ./test/slopes memory
	$(GO) run ./test/slopes processes -bin bin
	$(GO) run ./test/slopes fleet --agents 32,96,192 --idle 15s
	$(GO) run ./test/slopes fleet --agents 32,96,192 --idle 15s --ghosts 3008

# Both users' deployments at their true sizes, under load and faults.
measure: build
	$(GO) run ./test/measure -bin bin

# Switches one mechanism off at a time and expects its proof to fail.
ablate:
	$(GO) run ./test/ablate

# Policies of placing and refusing on named loads and random deployments, in virtual time.
play:
	$(GO) run ./test/play $(if $(SETTINGS),--settings $(SETTINGS))
