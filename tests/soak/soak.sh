#!/usr/bin/env bash
# Runs seeds of the soak test: odd seeds with the siam deployment, even seeds with frostline.
# soak.sh SOAK-PROGRAM DAEMON DEPLOYMENTS BASE-PORT FOLDER SEED [LAST-SEED [SECONDS [DAEMONS [SCALE]]]]
set -euo pipefail
program=$1 daemon=$2 deployments=$3 port=$4 first=$6 last=${7:-$6} seconds=${8:-12} daemons=${9:-3} scale=${10:-1}
status=0
for ((seed = first; seed <= last; ++seed)); do
    folder=$(mktemp -d "$5/soak.$seed.XXXXXX")
    deployment=$([ $((seed % 2)) = 1 ] && echo siam || echo frostline)
    if "$program" --daemon="$daemon" --deployment="$deployments/$deployment.json" \
        --folder="$folder" --base_port="$port" --seed="$seed" --seconds="$seconds" \
        --daemons="$daemons" --scale="$scale" > "$folder/soak.log"; then
        tail -n 1 "$folder/soak.log"
        rm -rf "$folder"
    else
        status=1
        grep -v -e begins -e ends "$folder/soak.log" || true
        echo "  logs kept in $(basename "$folder")"
    fi
done
exit "$status"
