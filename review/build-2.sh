#!/usr/bin/env bash
# Builds the stand-ins and drivers that the scripts in review/6 and later start, into target/review-2.
# Needs what the build of deploy/system.toml needs, and uses no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/rig -B target/review-2 -DCMAKE_BUILD_TYPE=Release > /dev/null
cmake --build target/review-2 -j4
