GO ?= go
# Packages whose tests simulate hundreds of event orders take some minutes under the race
# detector, and longer on a busy machine.
TEST_TIMEOUT ?= 40m
export GOTOOLCHAIN = local

.PHONY: build run up upgrade test tests race race-long known-red lint generate overhead slopes measure ablate play

build:
	$(GO) build -o bin/ ./cmd/...

# The quick start: runs a small deployment as separate processes and shows its functions.
run: build
	$(GO) run ./test/quickstart -bin bin

# Runs the same deployment until it is interrupted.
up: build
	$(GO) run ./test/quickstart -bin bin -keep

# Starts a deployment with the programs in OLD, replaces them by those of this tree, one
# instance after the other, and puts the old ones back: make upgrade OLD=DIR
upgrade: build
	$(GO) run ./test/upgrade -from $(OLD) -to bin

lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; echo "gofmt: files above are not formatted"; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# Tests that fail because of a known fault: the names before the colons in KNOWN-RED.txt.
# The file is printed and the tests run, but their result does not fail the build.
KNOWN_RED := $(shell cut -d: -f1 KNOWN-RED.txt 2>/dev/null | paste -sd '|' -)
ifneq ($(KNOWN_RED),)
SKIP := ^($(KNOWN_RED))$$

known-red:
	@cat KNOWN-RED.txt
	-$(GO) test -count=1 -run '^($(KNOWN_RED))$$' ./...
else
# No test has this name.
SKIP := ^$$

known-red:
	@echo "no known red tests"
endif

# The tests that take longest with the race detector. They run beside the others.
LONG := ^(TestPropagation|TestStoreOverload|TestStoreLoad)
RACE := $(GO) test -race -cpu=1 -shuffle=on -count=1 -timeout=$(TEST_TIMEOUT)

# Runs every test twice in random order, once with the race detector. That run uses one
# processor a process: with several, the race detector of Go 1.26 crashes in tests with virtual time.
# The failed ones are named once more at the end, below the logs of all packages.
test: lint build known-red
	@rm -f bin/test.status
	@{ $(MAKE) --no-print-directory tests 2>&1; echo $$? > bin/test.status; } | tee bin/test.log
	@test "$$(cat bin/test.status)" = 0 || { echo "failed:"; grep -avE '^[IWE][0-9]{4} ' bin/test.log | grep -E -A5 '^-test.shuffle|^ *--- FAIL|^panic: |DATA RACE' | head -n 40; exit 1; }

tests:
	$(MAKE) --no-print-directory -j2 race race-long
	$(GO) test -shuffle=on -count=1 -timeout=$(TEST_TIMEOUT) -skip '$(SKIP)' ./...

race:
	$(RACE) -skip '$(SKIP)|$(LONG)' ./...

race-long:
	$(RACE) -run '$(LONG)' -skip '$(SKIP)' ./platform

# Generates the protobuf code. Needs buf, protoc-gen-go and protoc-gen-go-drpc.
generate:
	buf generate

# Measures what an entry adds to the cost of a request, and the cost of a look-up.
overhead: build
	$(GO) run ./test/overhead -bin bin

# Measures how the costs of the parts grow with their size. docs/CAPACITY.md is computed
# from the output.
slopes: build
	$(GO) run ./test/slopes memory
	$(GO) run ./test/slopes processes -bin bin
	$(GO) run ./test/slopes fleet --agents 32,96,192 --idle 15s
	$(GO) run ./test/slopes fleet --agents 32,96,192 --idle 15s --ghosts 3008

# Measures both users' deployments at their full size, under load and faults.
measure: build
	$(GO) run ./test/measure -bin bin

# Disables one mechanism at a time and checks that the test for it fails.
ablate:
	$(GO) run ./test/ablate

# Compares policies for placing and refusing requests, on named loads and random
# deployments in virtual time.
play:
	$(GO) run ./test/play $(if $(SETTINGS),--settings $(SETTINGS))
