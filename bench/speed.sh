#!/usr/bin/env bash
# Usage: bench/speed.sh [SECONDS]
# Compares throughput, CPU cost and latency of requests that go directly to an upstream, through the
# minimal relay and through the daemon, in one run. Each row takes SECONDS (default 3). Prints a
# Markdown table and the daemon's memory use.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-3}

build/tests/citronpick-standin --pipelines=bench/speed.json --platform_port=17105 &
standin=$!
build/bench/relay 17102 17101 &
relay=$!
build/src/apps/citronpickd --settings=bench/speed-daemon.json >/dev/null &
daemon=$!
trap 'kill $standin $relay $daemon 2>/dev/null || true' EXIT
until curl -fsS http://127.0.0.1:17100/ready >/dev/null 2>&1; do sleep 0.1; done
idle=$(awk '/VmRSS/{print $2}' /proc/$daemon/status)

cpu_ticks() { awk '{print $14+$15}' "/proc/$1/stat"; }
# Arguments: row label, id of the process whose CPU time is counted, port, path, connections.
measure() {
    local before after
    before=$(cpu_ticks "$2")
    read -r rate p50 p99 failed < <(build/bench/loadgen --port="$3" --path="$4" \
        --connections="$5" --seconds="$seconds")
    after=$(cpu_ticks "$2")
    awk -v n="$1" -v c="$5" -v r="$rate" -v a="$p50" -v b="$p99" -v f="$failed" \
        -v t=$((after - before)) -v s="$seconds" -v hz="$(getconf CLK_TCK)" \
        'BEGIN { core = t / hz / s; printf "| %s | %d | %d | %d | %d | %d | %d |\n",
                 n, c, r, (core > 0 ? r / core : 0), a, b, f }'
}
echo "| path | connections | requests/s | requests/s a core | p50 us | p99 us | failed |"
echo "|---|---|---|---|---|---|---|"
for connections in 1 64 512; do
    measure direct "$standin" 17101 /call "$connections"
    measure relay "$relay" 17102 /call "$connections"
    measure daemon "$daemon" 17100 /v1/run/call "$connections"
done
echo "daemon memory: idle $idle KB, after load $(awk '/VmRSS/{print $2}' /proc/$daemon/status) KB"
