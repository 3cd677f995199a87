MODULES := core entry ctl standin measure platform

.PHONY: build demo test chaos measure

build:
	go build -o bin/poplar-entry ./entry
	go build -o bin/poplarctl ./ctl
	go build -o bin/poplar-standin ./standin
	go build -o bin/measure ./measure
	go build -o bin/poplar-platform ./platform

# Runs the Registry's example with three entries, sends requests, prints what came, and stops what it started.
demo: build
	./examples/run.sh registry

test:
	go test -race -count=1 -timeout 12m $(addprefix ./,$(addsuffix /...,$(MODULES)))
