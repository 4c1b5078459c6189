#!/usr/bin/env bash
# Generates the committed protobuf and gRPC code from servers/peer_link/peer.proto.
set -euo pipefail
cd "$(dirname "$0")/../servers/peer_link"
protoc --proto_path=. --cpp_out=generated --grpc_out=generated \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" peer.proto
