#!/usr/bin/env bash
# Gateways that are stopped and started again under callers that keep their connections; see docs/soak.md.
# SOAK_SEEDS, SOAK_SECONDS, SOAK_JOBS and SOAK_ARGUMENTS as for soaktest.sh.
set -euo pipefail
export SOAK_SEEDS="${SOAK_SEEDS:-1 2 3 4 5 6 7 8 9}" SOAK_SECONDS="${SOAK_SECONDS:-8}"
export SOAK_ARGUMENTS="--planned-stops ${SOAK_ARGUMENTS:---hosts 4 --callers 60}"
exec "$(dirname "$0")/soaktest.sh"
