# Functions for scripts that start the product's processes on loopback. Source this file; it needs bash and curl.
# Every process is started by the script, and ended by its process id when the script exits.

root="$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)"
work="$(mktemp -d "${TMPDIR:-/tmp}/plantainturn.XXXXXX")"
operator_token="operator-token-of-this-run"
peer_token="peer-token-of-this-run"
declare -A process_of=()
failures=0

export PLANTAINTURN_TOKEN="$operator_token"

# Ends every process that this script started and removes its files.
end_all() {
  local name
  for name in "${!process_of[@]}"; do
    kill -KILL "${process_of[$name]}" 2>/dev/null || true
    kill -CONT "${process_of[$name]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  if [ -z "${KEEP_FILES:-}" ]; then rm -rf "$work"; else echo "files kept in $work"; fi
}
trap end_all EXIT

# A build takes longer than a process may take to start, so that it comes before the first of them.
"$root/plantainturn" codes >/dev/null || exit 1

# step TEXT: prints that a check held.
step() { printf 'ok    %s\n' "$1"; }

# fail TEXT: prints that a check did not hold.
fail() {
  printf 'FAIL  %s\n' "$1"
  failures=$((failures + 1))
}

# check TEXT COMMAND...: prints whether the command succeeded.
check() {
  local text="$1"
  shift
  if "$@"; then step "$text"; else fail "$text"; fi
}

# start NAME ARGUMENTS...: starts ./plantainturn with the arguments.
start() {
  local name="$1"
  shift
  "$root/plantainturn" "$@" >"$work/$name.out" 2>"$work/$name.err" &
  process_of[$name]=$!
}

# until_true SECONDS COMMAND...: repeats the command until it succeeds or the time has passed.
until_true() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if [ "$SECONDS" -ge "$end" ]; then return 1; fi
    sleep 0.2
  done
}

has_port() { grep -q "\"$2\":[0-9]" "$work/$1.out"; }

# port_of NAME FIELD: prints the port that a process reported when it began to listen.
port_of() {
  if ! until_true 30 has_port "$1" "$2"; then
    echo "$1 did not start:" >&2
    tail -n 20 "$work/$1.err" >&2
    exit 1
  fi
  sed -n "s/.*\"$2\":\([0-9]*\).*/\1/p" "$work/$1.out" | head -n 1
}

# is_ready PORT: whether a node is ready for callers.
is_ready() { curl --silent --fail --max-time 2 --output /dev/null "http://127.0.0.1:$1/ready"; }

# write_node_settings NAME FAILURE_DOMAIN LOG_PORT VMS_PORT PEERS_JSON: writes $work/NAME.json.
write_node_settings() {
  local hash
  hash="$(printf '%s' "$operator_token" | sha256sum | cut -d' ' -f1)"
  cat >"$work/$1.json" <<SETTINGS
{
  "name": "$1", "failureDomain": "$2", "region": "kyushu", "shard": "main",
  "callers": {"address": "127.0.0.1", "port": 0},
  "control": {"address": "127.0.0.1", "port": 0},
  "operatorTokenSha256": "$hash",
  "peerToken": "$peer_token",
  "log": {"url": "http://127.0.0.1:$3"},
  "vmList": {"url": "http://127.0.0.1:$4"},
  "peers": $5,
  "lease": {"termMilliseconds": 3000, "driftMarginMilliseconds": 300, "orderDelayBoundMilliseconds": 2000},
  "stop": {"balancerLagMilliseconds": 300, "limitMilliseconds": 30000}
}
SETTINGS
}

# completion PORT MODEL TOKENS FILE: streams a completion through a node into a file.
completion() {
  curl --silent --no-buffer --max-time 30 "http://127.0.0.1:$1/v1/completions" \
    --header 'Content-Type: application/json' \
    --data "{\"model\": \"$2\", \"prompt\": \"Which bellows fits the clock?\", \"max_tokens\": $3, \"stream\": true}" >"$4"
}

# is_whole FILE TOKENS: whether a stream holds that many tokens and its end.
is_whole() {
  local tokens
  tokens="$(grep -c '"finish_reason":null' "$1")"
  grep -q '^data: \[DONE\]' "$1" && [ "$tokens" -eq "$2" ]
}

# answers PORT MODEL: whether a node answers for a model.
answers() {
  completion "$1" "$2" 1 "$work/probe.$1" && is_whole "$work/probe.$1" 1
}

# order PORT KEY FILE: posts a parts order with an idempotency key; prints the HTTP status.
order() {
  curl --silent --max-time 20 --output "$3" --write-out '%{http_code}' "http://127.0.0.1:$1/services/bookings/orders" \
    --header 'Content-Type: application/json' --header "Idempotency-Key: $2" --data '{"part": "bellows", "count": 2}'
}

# finish: prints the verdict and ends the script with the matching status.
finish() {
  if [ "$failures" -eq 0 ]; then
    echo "all checks held"
    exit 0
  fi
  echo "$failures checks did not hold"
  exit 1
}
