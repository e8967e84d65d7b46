#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start: the project's
# store stand-in and the small programs in lab-3. Everything goes to
# target/review-3.
set -eu
cd "$(dirname "$0")/.."
OUT=target/review-3
mkdir -p "$OUT"
cmake -S . -B "$OUT" -G Ninja -DCMAKE_BUILD_TYPE=Release \
  -DBERYLLANE_BUILD_TESTS=OFF -DBERYLLANE_BUILD_BENCH=OFF >/dev/null
ninja -C "$OUT" beryllane-store-standin
for program in runner caller put clock; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread \
    -o "$OUT/$program" "review/lab-3/$program.cxx"
done
