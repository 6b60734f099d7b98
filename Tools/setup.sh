#!/usr/bin/env bash
# SPDX-FileCopyrightText: 2026 The drumpond developers
# SPDX-License-Identifier: Apache-2.0
#
# Installs all dependencies of the build and the tests, from Debian packages only.
set -euo pipefail

PACKAGES=(
  build-essential ca-certificates cmake curl git jq ninja-build pkg-config
  clang-format clang-tidy
  libsoup-3.0-dev glib-networking libglib2.0-dev
  libcereal-dev libcxxopts-dev prometheus-cpp-dev libcppunit-dev
  nlohmann-json3-dev libcsv-dev libhttp-parser-dev libxxhash-dev libpcg-cpp-dev libssl-dev
  liblua5.4-dev libzstd-dev libbenchmark-dev spin help2man
)

missing=()
for package in "${PACKAGES[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q '^install ok installed$' || missing+=("$package")
done
if [ "${#missing[@]}" -eq 0 ]; then
  echo "setup: all packages are installed"
  exit 0
fi
[ "$(id -u)" -eq 0 ] || { echo "setup: run as root to install: ${missing[*]}" >&2; exit 1; }
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
echo "setup: installed ${missing[*]}"
