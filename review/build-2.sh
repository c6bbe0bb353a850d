#!/usr/bin/env bash
# Builds the stand-in that the scripts of the second review start: this project's stand-in store. The stand-in servers and
# callers in review/standins-2/ are Perl scripts and need no build; Perl comes with git, which building needs anyway.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target/review-2 -G Ninja
cmake --build target/review-2 --target standin-store
perl -c review/standins-2/server.pl
perl -c review/standins-2/caller.pl
