#!/usr/bin/env bash
# Starts a deployment of examples/ on loopback, sends requests, prints the answers and a summary, and stops what it
# started. Usage: examples/run.sh registry|gelo
set -euo pipefail
cd "$(dirname "$0")/.."
name=${1:-registry}
folder=examples/$name
logs=$(mktemp -d)
pids=()

stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$logs"
}
trap stop EXIT

start() {
  local log=$1
  shift
  "$@" >"$logs/$log.log" 2>&1 &
  pids+=($!)
}

start_targets() {
  local prefix=$1
  shift
  start "targets-$prefix" bin/poplar-standin targets --prefix "$prefix" "$@"
}

say() { printf '\n== %s\n' "$1"; }

answered=0
refused=0

# request ENTRY METHOD PATH [KEY] [BODY]
request() {
  local entry=$1 method=$2 path=$3 key=${4:-} body=${5:-}
  local arguments=(-sS -X "$method" -o "$logs/body" -D "$logs/head" --max-time 20)
  [ -z "$key" ] || arguments+=(-H "Idempotency-Key: $key")
  [ -z "$body" ] || arguments+=(-d "$body")
  curl "${arguments[@]}" "http://$network.$entry:9000$path"
  local status
  status=$(awk 'NR == 1 {print $2}' "$logs/head")
  if [ "$status" -lt 400 ]; then answered=$((answered + 1)); else refused=$((refused + 1)); fi
  printf 'entry-%s %s %s -> %s%s, %s bytes: ' "$entry" "$method" "$path" "$status" \
    "$(grep -qi '^poplar-replayed' "$logs/head" && echo ', given again' || true)" "$(stat -c %s "$logs/body")"
  head -c 100 "$logs/body" | tr -d '\0' | tr -c '[:print:]' ' '
  echo
}

await() {
  for _ in $(seq 100); do
    if "$@" >/dev/null 2>&1; then return; fi
    sleep 0.1
  done
  echo "not within 10 s: $*; logs:" >&2
  tail -n 5 "$logs"/*.log >&2
  exit 1
}

. "$folder/deployment.sh"
start platform bin/poplar-standin platform --address "$network.100:7000"
await curl -sf "http://$network.100:7000/control/counts"
vms=""
for i in 1 2 3; do
  vms+="{\"name\":\"entry-$i\",\"peer\":\"$network.$i:9200\",\"data-centre\":\"${centres[$((i - 1))]}\"},"
done
curl -sf -X PUT "http://$network.100:7000/control/vms/all" -d "[${vms%,}]"
for i in 1 2 3; do start "entry-$i" bin/poplar-entry --settings "$folder/settings/entry-$i.jsonc"; done
for i in 1 2 3; do await curl -sf "http://$network.$i:9100/readyz"; done

export POPLAR_ENTRY="http://$network.1:9100" POPLAR_OPERATOR=example
say "Records"
bin/poplarctl record put "$folder"/records/*.jsonc
revision=$(ls "$folder"/records | wc -l)
for i in 1 2 3; do
  await sh -c "bin/poplarctl -e http://$network.$i:9100 -o json status | grep -q '\"revision\": $revision'"
done

. "$folder/requests.sh"

say "Status"
bin/poplarctl status
say "Summary: $answered requests answered, $refused refused with a code"
