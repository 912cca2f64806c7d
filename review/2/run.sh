#!/usr/bin/env bash
# Exits with 1 if sound requests begin less than half as often as before a deadly part came, 0 if
# not, 2 if the case could not run. TROUBLE=0: the part crashes no replica.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/deadlypart ] || exit 2
exec timeout -s KILL 115 target/review/deadlypart review/2/record.txt
