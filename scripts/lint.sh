#!/usr/bin/env bash
# Checks formatting and runs clang-tidy: scripts/lint.sh [build directory]. The directory must have been built: a source is
# checked again only when its content, that of a header it includes, or the checks have changed since it was found clean.
set -euo pipefail
cd "$(dirname "$0")/.."

directory="${1:-build}"
cache="$directory/lint-cache"
mkdir -p "$cache"
mapfile -t files < <(git ls-files '*.cpp' '*.h')
mapfile -t sources < <(git ls-files '*.cpp')
clang-format --dry-run --Werror "${files[@]}"

# One line for each object: its source, then the headers of this project that it includes.
ninja -C "$directory" -t deps | awk -v root="$PWD/" '
    /^[^ ]/ { if (line != "") print line; line = "" }
    /^ / {
        sub(/^ +/, "")
        # Relative to the build directory where ccache has a base directory.
        if (sub(/^\.\.\//, "") || sub("^" root, "")) line = line " " $0
    }
    END { if (line != "") print line }' >"$cache/dependencies"
checks="$(clang-tidy --version | cat - .clang-tidy scripts/lint.sh | sha256sum | cut -c 1-16)"

# stamp_of SOURCE: the name under which its clean verdict is kept; empty if its headers are not known.
stamp_of() {
    local line
    line="$(awk -v source="$1" '$1 == source { print; exit }' "$cache/dependencies")"
    [ -n "$line" ] || return 0
    # shellcheck disable=SC2086
    echo "$checks-$(sha256sum $line | sha256sum | cut -c 1-32)"
}
check() {
    local stamp
    stamp="$(stamp_of "$1")"
    if [ -n "$stamp" ] && [ -e "$cache/$stamp" ]; then
        return 0
    fi
    # clang-tidy 14 recognises the coroutines of Boost.Asio only with these definitions.
    clang-tidy --quiet -p "$directory" --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT=1 \
        --extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE=1 "$1" 2>/dev/null
    [ -z "$stamp" ] || touch "$cache/$stamp"
}
export -f check stamp_of
export checks cache directory
printf '%s\0' "${sources[@]}" | xargs -0 -n 1 -P "$(nproc)" bash -euo pipefail -c 'check "$1"' check
echo "lint: ${#files[@]} files formatted, ${#sources[@]} files checked by clang-tidy"
