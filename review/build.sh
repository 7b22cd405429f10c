#!/usr/bin/env bash
# Builds the stand-ins of the cases that are scripts. They use nothing but the
# C++ library and a header that the project declares (nlohmann-json3-dev).
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
c++ -std=c++20 -O1 -g -Wall -Wextra -pthread -o target/review/review-case \
  review/standin/cases.cpp review/standin/http.cpp review/standin/world.cpp
