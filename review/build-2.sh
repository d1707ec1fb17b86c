#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review 2 start, in target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/[45678]/case.cpp; do
    number=$(basename "$(dirname "$case")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/case-$number" "$case"
done
