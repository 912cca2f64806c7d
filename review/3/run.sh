#!/usr/bin/env bash
# Exits with 1 if more than three requests with a deadly part reached replicas too late, 0 if not, 2
# if the case could not run. TROUBLE=0: the part crashes no replica.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/hiddenpart ] || exit 2
exec timeout -s KILL 110 target/review/hiddenpart review/3/record.txt
