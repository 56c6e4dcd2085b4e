# Brings up a deployment on loopback: the platform, three engines in three failure domains, two instances of a plain
# service, and nodes. Source it after processes.sh.

engines="engine-a engine-b engine-c"
declare -A engine_port=() callers=() control=()
nodes=""

start_engine() {
  cat >"$work/$1.json" <<SETTINGS
{"name": "$1", "memoryMegabytes": 80000, "cacheReserveMegabytes": 20000, "refusesOldFences": $2,
 "weightStoreAddress": "http://127.0.0.1:$weights"}
SETTINGS
  start "$1" standin engine --settings "$work/$1.json"
}

# start_node NAME FAILURE_DOMAIN: starts a node that joins those which run.
start_node() {
  local peers="" name
  for name in $nodes; do peers="$peers${peers:+, }\"http://127.0.0.1:${control[$name]}\""; done
  write_node_settings "$1" "$2" "$log" "$vms" "[$peers]"
  start "$1" node --settings "$work/$1.json"
  callers[$1]="$(port_of "$1" callers)" || exit 1
  control[$1]="$(port_of "$1" control)" || exit 1
  nodes="$nodes${nodes:+ }$1"
}

# forget_node NAME: takes a node off the list; its process has ended.
forget_node() {
  local name rest=""
  for name in $nodes; do [ "$name" = "$1" ] || rest="$rest${rest:+ }$name"; done
  nodes="$rest"
  unset "process_of[$1]" "callers[$1]" "control[$1]"
}

domain_of_number() {
  local domains=(hakata kitakyushu kumamoto)
  echo "${domains[$(($1 % 3))]}"
}

upstream_json() {
  cat <<PATCH
"$1": {"address": "http://127.0.0.1:$2", "failureDomain": "$3", "kind": "engine", "accelerators": 1,
  "memoryMegabytes": 80000, "cacheReserveMegabytes": 20000, "refusesOldFences": $4}
PATCH
}

# start_deployment NODES: starts everything and applies the first configuration.
start_deployment() {
  local number name
  start log standin log
  start vms standin vms
  start weights standin weight-store
  start bookings-1 standin service
  start bookings-2 standin service
  log="$(port_of log listening)" || exit 1
  vms="$(port_of vms listening)" || exit 1
  weights="$(port_of weights listening)" || exit 1
  bookings_1="$(port_of bookings-1 listening)" || exit 1
  bookings_2="$(port_of bookings-2 listening)" || exit 1
  start_engine engine-a true
  start_engine engine-b false
  start_engine engine-c true
  for name in $engines; do engine_port[$name]="$(port_of "$name" listening)" || exit 1; done
  for number in $(seq 1 "$1"); do start_node "node-$number" "$(domain_of_number "$number")"; done
  for name in $nodes; do until_true 20 is_ready "${callers[$name]}" || fail "$name becomes ready"; done
  cat >"$work/deployment.json" <<PATCH
{"upstreams": {
  $(upstream_json engine-a "${engine_port[engine-a]}" hakata true),
  $(upstream_json engine-b "${engine_port[engine-b]}" kitakyushu false),
  $(upstream_json engine-c "${engine_port[engine-c]}" kumamoto true),
  "bookings-1": {"address": "http://127.0.0.1:$bookings_1", "failureDomain": "hakata", "kind": "service"},
  "bookings-2": {"address": "http://127.0.0.1:$bookings_2", "failureDomain": "kumamoto", "kind": "service"}},
 "models": {"assistant": {"memoryMegabytes": 16000}},
 "services": {"bookings": {"upstreams": ["bookings-1", "bookings-2"], "timeoutMilliseconds": 4000}}}
PATCH
  check "the deployment's configuration is accepted" patch_at node-1 deployment
  for name in $nodes; do until_true 30 answers "${callers[$name]}" assistant || fail "$name answers"; done
  until_true 20 model_resident_on 2 assistant || fail "the model is resident in two failure domains"
  step "a deployment of $1 nodes, three engines and a plain service answers"
}

# patch_at NODE NAME [VERSION]: submits $work/NAME.json through a node.
patch_at() {
  local against=()
  [ $# -lt 3 ] || against=(--against "$3")
  "$root/plantainturn" configuration patch --node "http://127.0.0.1:${control[$1]}" "${against[@]}" \
    "$work/$2.json" >"$work/$2.$1.answer" 2>&1
}

operator_get() {
  curl --silent --max-time 5 --header "Authorization: Bearer $operator_token" "http://127.0.0.1:${control[$1]}$2"
}

version_at() { operator_get "$1" /configuration | sed -n 's/^{"version":\([0-9]*\).*/\1/p'; }

truth() { curl --silent --max-time 5 "http://127.0.0.1:$1/standin/truth"; }

# truth_number PORT FIELD: prints a number of a stand-in's truth.
truth_number() { truth "$1" | grep -o "\"$2\":[0-9]*" | head -n 1 | cut -d: -f2; }

set_faults() { curl --silent --max-time 5 --output /dev/null --data "$2" "http://127.0.0.1:$1/standin/faults"; }

# executions_of KEY: how often the order with the key was executed, by both instances together.
executions_of() {
  local port sum=0 count
  for port in "$bookings_1" "$bookings_2"; do
    count="$(truth "$port" | grep -o "\"$1\":[0-9]*" | head -n 1 | cut -d: -f2)"
    sum=$((sum + ${count:-0}))
  done
  echo "$sum"
}

# model_resident_on COUNT MODEL: whether at least so many engines hold the model ready.
model_resident_on() {
  local name found=0
  for name in $engines; do
    if truth "${engine_port[$name]}" | grep -q "\"name\":\"$2\",[^}]*\"state\":\"ready\""; then found=$((found + 1)); fi
  done
  [ "$found" -ge "$1" ]
}

never_overcommitted() {
  local name
  for name in $engines; do
    [ "$(truth_number "${engine_port[$name]}" overcommits)" = 0 ] || return 1
  done
}

# lease_holder: prints the node that holds the lease.
lease_holder() {
  local name
  for name in $nodes; do
    if operator_get "$name" "/dump?section=control" | grep -q '"fence": [0-9]'; then
      echo "$name"
      return 0
    fi
  done
  return 1
}
