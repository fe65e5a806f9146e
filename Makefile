.PHONY: build test lint generate quickstart drill bench

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

drill: build
	bash scripts/drill.sh

bench:
	go test -run '^$$' -bench . -benchmem ./...
