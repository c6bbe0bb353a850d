#!/usr/bin/env bash
# Gateways that are stopped in turn before groups of engines that answer orders slowly; see docs/soak.md.
# SOAK_SEEDS, SOAK_SECONDS, SOAK_JOBS and SOAK_ARGUMENTS as for soaktest.sh.
set -euo pipefail
export SOAK_SEEDS="${SOAK_SEEDS:-1 2 3}" SOAK_SECONDS="${SOAK_SECONDS:-20}"
export SOAK_ARGUMENTS="--planned-stops --grace-ms 8000 --hosts 6 --callers 60 --groups 2 ${SOAK_ARGUMENTS:---answer-delay-ms 400}"
exec "$(dirname "$0")/soaktest.sh"
