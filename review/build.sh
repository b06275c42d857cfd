#!/usr/bin/env bash
# Builds the programs of the cases, stand-ins included, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
Flags=(-std=c++20 -O2 -Wall -Wextra -DFMT_HEADER_ONLY -Isrc -Ireview/harness)
Objects=()
for Unit in review/harness/*.cpp; do
  Object=target/review/$(basename "$Unit" .cpp).o
  g++ "${Flags[@]}" -c "$Unit" -o "$Object"
  Objects+=("$Object")
done
for Unit in review/[1-5]/main.cpp; do
  [ -e "$Unit" ] || continue
  Case=$(basename "$(dirname "$Unit")")
  g++ "${Flags[@]}" "$Unit" "${Objects[@]}" -o "target/review/case$Case" -pthread
done
