#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/13 start beside the product: a driver for each case, which holds its
# callers, its servers and its store.
set -euo pipefail
cd "$(dirname "$0")/.."

directory=build/review-3
mkdir -p "$directory"
compile() { # compile SOURCE: the object file
    local object
    object="$directory/$(echo "$1" | tr / _).o"
    g++ -std=c++20 -O2 -Wall -Wextra -Wpedantic -Wshadow -c "$1" -o "$object"
    echo "$object"
}
common=()
for source in review/standins-3/*.cpp; do
    common+=("$(compile "$source")")
done
for number in 11 12 13; do
    # A driver that runs is replaced, not written to.
    g++ "$(compile "review/$number/driver.cpp")" "${common[@]}" -pthread -o "$directory/driver-$number.new"
    mv "$directory/driver-$number.new" "$directory/driver-$number"
done
