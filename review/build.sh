#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, with the compiler that the deploy file names. They use no library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for folder in review/[0-9]*/; do
    number=$(basename "$folder")
    if [[ -f $folder/case.cpp ]]; then
        g++ -std=c++20 -O1 -pthread -Wall -Wextra -o "target/review/case-$number" "$folder/case.cpp"
    fi
done
