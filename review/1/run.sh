#!/usr/bin/env bash
# SPDX-FileCopyrightText: 2026 The drumpond developers
# SPDX-License-Identifier: Apache-2.0
#
# Needs the build of deploy/system.toml and review/build.sh. Writes record.txt.
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 2 115 target/review/case-1 review/1
