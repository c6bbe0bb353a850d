#!/usr/bin/env bash
# Sets up everything and runs all tests: scripts/test.sh [build directory] [further CMake arguments].
set -euo pipefail
cd "$(dirname "$0")/.."

directory="${1:-build}"
shift || true
scripts/install-packages.sh
scripts/build.sh "$directory" "$@"
ctest --test-dir "$directory" --output-on-failure --parallel 4
