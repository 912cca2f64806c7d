#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. Needs the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in 6 7 8 9 10; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -Ireview "review/$name/program/case.cpp" \
        review/6/support/*.cpp -o "target/review-2/case-$name" &
done
wait
for name in 6 7 8 9 10; do
    test -x "target/review-2/case-$name"
done
