#!/usr/bin/env bash
# Checks formatting and runs clang-tidy: scripts/lint.sh [build directory].
set -euo pipefail
cd "$(dirname "$0")/.."

directory="${1:-build}"
mapfile -t files < <(git ls-files '*.cpp' '*.h')
mapfile -t sources < <(git ls-files '*.cpp')
clang-format --dry-run --Werror "${files[@]}"
# clang-tidy 14 recognises the coroutines of Boost.Asio only with these definitions.
printf '%s\0' "${sources[@]}" | xargs -0 -n 1 -P "$(nproc)" clang-tidy --quiet -p "$directory" \
    --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT=1 --extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE=1 2>/dev/null
echo "lint: ${#files[@]} files formatted, ${#sources[@]} files checked by clang-tidy"
