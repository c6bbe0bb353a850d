#!/usr/bin/env bash
# Builds the stand-ins of the cases: one program for each script. Needs what the deploy file's packages bring.
set -euo pipefail
cd "$(dirname "$0")/.."

directory="build-review"
mkdir -p "$directory"
flags=(-std=c++20 -O2 -Wall -Wextra -pthread)
objects=()
for source in review/standins/*.cpp; do
    object="$directory/$(basename "$source" .cpp).o"
    g++ "${flags[@]}" -c "$source" -o "$object" &
    objects+=("$object")
done
wait
for source in review/*/driver.cpp; do
    number="$(basename "$(dirname "$source")")"
    g++ "${flags[@]}" "$source" "${objects[@]}" -o "$directory/case-$number" &
done
wait
for source in review/*/driver.cpp; do
    test -x "$directory/case-$(basename "$(dirname "$source")")"
done
