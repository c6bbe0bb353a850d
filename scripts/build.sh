#!/usr/bin/env bash
# Builds the tree: scripts/build.sh [build directory] [further CMake arguments].
set -euo pipefail
cd "$(dirname "$0")/.."

directory="${1:-build}"
shift || true
cmake -S . -B "$directory" -G Ninja "$@" >"/dev/null"
cmake --build "$directory" -- -k 0
