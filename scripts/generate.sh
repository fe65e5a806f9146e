#!/usr/bin/env bash
# Regenerates the protobuf code and records the digest of its source.
# Needs buf and protoc-gen-go at the versions named in docs/DEVELOPING.md.
set -euo pipefail
cd "$(dirname "$0")/.."
buf generate
sha256sum internal/peer/peerpb/peer.proto | cut -d' ' -f1 > internal/peer/peerpb/peer.proto.sha256
