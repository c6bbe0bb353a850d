#!/usr/bin/env bash
# Installs the Debian packages that building and testing need. Does nothing when all are present.
set -euo pipefail

packages=(
    build-essential cmake ninja-build ccache pkg-config git curl
    clang-format clang-tidy
    libboost-dev libnng-dev liblog4cxx-dev libyaml-cpp-dev libmsgpack-cxx-dev
    nlohmann-json3-dev libxxhash-dev libssl-dev doctest-dev librapidcheck-dev
)

missing=()
for package in "${packages[@]}"; do
    if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
        missing+=("$package")
    fi
done
if [ "${#missing[@]}" -eq 0 ]; then
    exit 0
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}"
