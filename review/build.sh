#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. Needs the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]*/*.cpp; do
    program=target/review/$(basename "$source" .cpp)
    g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -o "$program" "$source"
done
