#!/usr/bin/env bash
# Sends signals to a daemon process: unsupported signals are logged and ignored, SIGTERM drains it
# and ends it with status 0. Missing and invalid settings files make it fail to start.
# signals.sh DAEMON FOLDER
set -euo pipefail
folder=$(mktemp -d "$2/signals.XXXXXX")
trap 'kill -KILL "${daemon:-0}" 2>/dev/null || true; rm -rf "$folder"' EXIT

cat > "$folder/settings.json" <<'JSON'
{ "daemon": "signals", "zone": "a",
  "caller": { "host": "127.0.0.1", "port": 0, "entryLifetimeMs": 1 },
  "admin": { "host": "127.0.0.1", "port": 0, "token": "signals-token" },
  "fleet": { "host": "127.0.0.1", "port": 0, "key": "signals-fleet-key" },
  "platform": { "host": "127.0.0.1", "port": 1 },
  "drain": { "acceptMs": 1001 } }
JSON

await() { # waits until the log contains the text
    until grep -q "$1" "$folder/log"; do
        kill -0 "$daemon" || { echo "daemon ended before it logged '$1'"; exit 1; }
    done
}

"$1" --settings="$folder/settings.json" > "$folder/log" &
daemon=$!
await "101 daemon-started"
kill -HUP "$daemon"
await "106 signal-ignored .*number=1"
kill -USR1 "$daemon"
await "106 signal-ignored .*number=10"
kill -TERM "$daemon"
await "103 drain-started"
status=0
wait "$daemon" || status=$?
grep -q "104 drain-complete" "$folder/log"
[ "$status" = 0 ]

"$1" --settings="$folder/none.json" 2>/dev/null && exit 1
echo '{' > "$folder/broken.json"
"$1" --settings="$folder/broken.json" 2>/dev/null && exit 1
exit 0
