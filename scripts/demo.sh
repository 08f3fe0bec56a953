#!/usr/bin/env bash
# Starts the stand-ins and four hosts on loopback, puts an example document in
# force, sends requests, makes one target gray, drains one host under traffic
# and prints a summary. Ends every process that it started, also when it is
# interrupted.
set -euo pipefail
cd "$(dirname "$0")/.."

work=$(mktemp -d)
pids=()
failures=0

stop_all() {
  trap - EXIT INT TERM
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop_all EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# start NAME COMMAND... runs a process in the background with its output in a file.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
  eval "pid_${name//-/_}=$!"
}

# check TEXT COMMAND... prints whether a command succeeds and counts failures.
check() {
  local text=$1
  shift
  if "$@"; then echo "ok    $text"; else echo "FAIL  $text"; failures=$((failures + 1)); fi
}

# wait_for TEXT SECONDS COMMAND... repeats a command until it succeeds.
wait_for() {
  local text=$1 tries=$(($2 * 10))
  shift 2
  for _ in $(seq "$tries"); do
    if "$@" >/dev/null 2>&1; then echo "ok    $text"; return 0; fi
    sleep 0.1
  done
  echo "FAIL  $text"
  failures=$((failures + 1))
}

log_url=http://127.0.0.1:20900
hosts_url=http://127.0.0.1:20901
token=demonstration-token
ctl=bin/sapphirectl

echo "== stand-ins: log service, host list, 33 targets"
start log bin/standin log -listen 127.0.0.1:20900
start hosts bin/standin hosts -listen 127.0.0.1:20901 -lag 500ms
start_targets() { # SERVICE COUNT PORT
  for i in $(seq "$2"); do
    start "$1-$i" bin/standin target -name "$1-$i" -listen "127.0.0.1:$(($3 + i))" -slots 6 -latency 4ms -seed "$i"
  done
}
start_targets errata-index 10 21000
start_targets notice-press 15 21100
start_targets proof-vault 8 21200

echo "== four hosts in two regions"
admins=""
start_host() { # NUMBER REGION ZONE
  local name=host-$1 caller=127.0.0.1:2010$1 admin=127.0.0.1:2020$1 peer=127.0.0.1:2030$1
  start "$name" bin/sapphirehaven -host-id "$name" -region "$2" -zone "$3" -caller-listen "$caller" -admin-listen "$admin" \
    -peer-listen "$peer" -log-url "$log_url" -hosts-url "$hosts_url" -admin-token "$token" -address-max-age 1s -drain-limit 20s
  admins="${admins:+$admins,}http://$admin"
  for _ in $(seq 50); do
    curl -sf -X PUT "$hosts_url/v1/hosts/$name" -d "{\"peer_address\":\"$peer\",\"caller_address\":\"$caller\",\"admin_address\":\"$admin\",\"region\":\"$2\",\"zone\":\"$3\",\"state\":\"live\"}" && break
    sleep 0.1
  done
}
start_host 1 cairo cairo-maadi
start_host 2 cairo cairo-nasr
start_host 3 alex alex-smouha
start_host 4 alex alex-raml

caller=http://127.0.0.1:20101
reachable() { curl -s -o /dev/null "$1"; }
wait_for "hosts listen" 10 reachable http://127.0.0.1:20204/healthz
echo "== without a document every request is refused as not run"
not_run() { curl -s -D - -o /dev/null "$caller/errata/1" | grep -qi '^Sapphirehaven-Outcome: not-run'; }
check "a request before the first document is refused as not-run" not_run

echo "== an operator applies examples/nilebridge.yaml"
wait_for "the document is accepted" 10 $ctl document apply -admin http://127.0.0.1:20201 -token "$token" -base 0 -author demo -note "first document" examples/nilebridge.yaml
in_force() { $ctl document status -admin "$admins" | grep -q 'newest_revision=1 hosts=4 behind_or_silent=0'; }
wait_for "revision 1 is in force on four hosts" 10 in_force
$ctl document status -admin "$admins" | tail -1
both_regions() { [ "$($ctl addresses -host "$caller" errata-index | grep -c zone=)" = 4 ]; }
wait_for "address answers name all four hosts" 20 both_regions
$ctl addresses -host "$caller" errata-index

status_of() { curl -s -o /dev/null -w '%{http_code}' "$@"; }
lookups() { # COUNT
  local bad=0
  for i in $(seq "$1"); do [ "$(status_of "$caller/errata/$i")" = 200 ] || bad=$((bad + 1)); done
  [ "$bad" = 0 ]
}
echo "== lookups, a notice and an upload"
check "50 lookups are answered" lookups 50
explained() { $ctl explain -admin http://127.0.0.1:20201 GET /errata/1 | tee "$work/explained" | grep -q 'service=errata-index'; }
check "a host explains where a lookup goes" explained
head -6 "$work/explained"
ticket=$(curl -s -X POST "$caller/.sapphirehaven/v1/tickets?count=1" | sed 's/.*"tickets":\["\([^"]*\)".*/\1/')
notice() { [ "$(status_of -X POST -H 'X-Run-Key: notice-1' -H "Sapphirehaven-Ticket: $ticket" -d 'retract article 17' "$1/notices/1")" = 200 ]; }
check "a notice with a ticket is issued" notice "$caller"
check "its repeat at another host gets the stored response" notice http://127.0.0.1:20103
runs() { for i in $(seq 15); do curl -s "http://127.0.0.1:$((21100 + i))/runs"; done | grep -o '"notice-1":[0-9]*' | cut -d: -f2 | paste -sd+ | bc; }
ran_once() { [ "$(runs)" = 1 ]; }
check "the notice ran exactly once" ran_once
head -c 8388608 /dev/zero >"$work/scan"
upload() { [ "$(status_of -T "$work/scan" "$caller/proofs/scan-1")" = 200 ]; }
check "an upload of 8 MiB is answered" upload

echo "== errata-index-1 fails half of its real work but passes probes"
curl -sf -X PUT http://127.0.0.1:21001/fault -d '{"error_share":0.5}'
traffic() { for i in $(seq 400); do status_of "$caller/errata/$i" >/dev/null; done; }
traffic
ejected() { $ctl timeline -admin "$admins" -kind target_ejected | grep -q errata-index-1; }
check "the gray target is ejected" ejected
$ctl timeline -admin "$admins" -kind target_ejected | tail -3
check "lookups are answered while it is out" lookups 50

echo "== host-2 is drained under traffic"
drain_bad="$work/drain_bad"
( bad=0; for i in $(seq 150); do
    [ "$(status_of "http://127.0.0.1:20102/errata/$i")" = 200 ] || { kill -0 "$pid_host_2" 2>/dev/null && bad=$((bad + 1)); }
    kill -0 "$pid_host_2" 2>/dev/null || break
  done; echo "$bad" >"$drain_bad" ) &
load=$!
pids+=("$load")
sleep 0.3
kill -TERM "$pid_host_2"
wait "$load" || true
clean() { [ "$(cat "$drain_bad")" = 0 ]; }
check "no request to the draining host failed while it served" clean
gone() { ! kill -0 "$pid_host_2" 2>/dev/null; }
wait_for "host-2 ended" 15 gone
admins="http://127.0.0.1:20201,http://127.0.0.1:20203,http://127.0.0.1:20204"

echo "== merged timeline of the remaining hosts (last 12 events)"
$ctl timeline -admin "$admins" | tail -12
$ctl status -admin "$admins"

if [ "$failures" -gt 0 ]; then
  echo "demo: $failures checks failed"
  exit 1
fi
echo "demo: all checks passed"
