#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
builds=()
for source in review/standin-2/*.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-mismatched-new-delete \
    -DASIO_STANDALONE -fcoroutines -pthread -c "$source" \
    -o "target/review-2/$(basename "$source" .cpp).o" &
  builds+=("$!")
done
for build in "${builds[@]}"; do
  wait "$build"
done
g++ -pthread target/review-2/*.o -o target/review-2/review-play
