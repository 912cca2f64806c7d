#!/usr/bin/env bash
# Installs the dependencies on a fresh Debian 12 machine, builds, and runs the examples
# ("./setup.sh run") or all tests ("./setup.sh test").
set -euo pipefail
cd "$(dirname "$0")"

packages=(g++ cmake ninja-build pkg-config clang-format clang-tidy curl
    libh2o-evloop-dev libh2o-dev libhttp-parser-dev libjsonrpccpp-dev libjsoncpp-dev prometheus-cpp-dev libabsl-dev
    libeasyloggingpp-dev libtrompeloeil-cpp-dev catch2 nlohmann-json3-dev libxxhash-dev
    librapidcheck-dev libvalijson-dev libpcg-cpp-dev libssl-dev zlib1g-dev libzstd-dev valgrind)

install_packages() {
    local missing=()
    for package in "${packages[@]}"; do
        dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
    done
    if [ "${#missing[@]}" -gt 0 ]; then
        export DEBIAN_FRONTEND=noninteractive
        apt-get update -qq
        apt-get install -y -qq "${missing[@]}" >/dev/null
    fi
}

build() {
    cmake --preset "$1" >/dev/null
    cmake --build --preset "$1"
}

run_tests() {
    build release
    ctest --preset release -j "$(nproc)"
    if [ "${CITRONPICK_SKIP_SANITIZE:-}" != 1 ]; then
        build sanitize
        ctest --preset sanitize -j "$(nproc)"
    fi
}

# Starts one daemon of an example deployment with simulated upstreams and sends it a request.
run_example() {
    local name=$1 base=$2 route=$3 account=$4 body=$5
    build/tests/citronpick-standin --pipelines="examples/$name/pipelines.json" \
        --platform_port=$((base + 900)) --delay_us=5000 &
    local standin=$!
    build/src/apps/citronpickd --settings="examples/$name/daemon-1.json" &
    local daemon=$!
    until curl -fsS "http://127.0.0.1:$base/ready" >/dev/null 2>&1; do sleep 0.1; done
    echo "--- $name: route $route, account $account, request body: $body"
    build/src/apps/citronpickctl request --to="127.0.0.1:$base" --route="$route" \
        --account="$account" --body="$body"
    kill -TERM "$daemon"
    wait "$daemon"
    kill -TERM "$standin"
    wait "$standin" || true
}

case "${1:-}" in
run)
    install_packages
    build release
    run_example siam 18000 quote bangkok "40 blanks, 38 mm, oak bark tanned"
    for deployment in siam frostline; do
        echo "--- $deployment: relay mode with simulated registry, replicas and callers"
        platform/tests/calmday.sh build/src/apps/citronpickd build/platform/citronpick-deployment \
            "examples/relay/$deployment.json" 21000 5 build
    done
    run_example frostline 19000 safety-briefing schools "hall 2, 24 children, -6 degrees"
    ;;
test)
    install_packages
    run_tests
    ;;
*)
    echo "usage: ./setup.sh run|test" >&2
    exit 2
    ;;
esac
