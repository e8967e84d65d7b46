#!/usr/bin/env bash
# Builds what the cases 6 to 10 start beside the router: their stand-ins, each
# with its case. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[0-9]*/main.cxx; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/case-$number" \
    "$source"
done
