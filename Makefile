.PHONY: build test lint generate quickstart bench

build:
	go build -o bin/ ./cmd/...

test:
	bash .ci/run

lint:
	bash scripts/lint.sh

generate:
	bash scripts/generate.sh

quickstart: build
	bash scripts/quickstart.sh

bench:
	go test -run '^$$' -bench . -benchmem ./...
