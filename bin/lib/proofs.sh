# The proofs of bin/prove-failures, one function each. Source it after deployment.sh.

# The time that a quarantine may take to reach every node.
QUARANTINE_SPREAD_SECONDS=2

random_node() {
  local all=($nodes)
  echo "${all[$((RANDOM % ${#all[@]}))]}"
}

write_model() { echo "{\"models\": {\"$1\": {\"memoryMegabytes\": $2}}}" >"$work/$1.json"; }

same_version_everywhere() {
  local name first
  first="$(version_at node-1)"
  [ -n "$first" ] || return 1
  for name in $nodes; do [ "$(version_at "$name")" = "$first" ] || return 1; done
}

prove_operator_race() {
  local version first second
  version="$(version_at node-1)"
  write_model race-one 1000
  write_model race-two 1000
  patch_at node-1 race-one "$version" &
  local running=$!
  patch_at node-2 race-two "$version"
  second=$?
  wait "$running"
  first=$?
  check "of two patches against one version exactly one is accepted" test $((first + second)) -eq 1
  check "the refused one is told the version in force" grep -q "the version in force is $((version + 1))" \
    "$work/race-one.node-1.answer" "$work/race-two.node-2.answer"
  check "the same version is in force at every node" until_true 12 same_version_everywhere
}

prove_lost_answers() {
  local version
  version="$(version_at node-1)"
  write_model lost-answer 1000
  set_faults "$log" '{"loseAnswers": 1, "onlyStreams": ["configuration"]}'
  check "a patch whose answer the log lost is accepted" patch_at node-2 lost-answer "$version"
  check "and counts once" test "$(version_at node-2)" = $((version + 1))
  set_faults "$log" '{}'
}

status_of() { curl --silent --max-time 20 --output "$work/answer" --write-out '%{http_code}' "$@"; }

has_status() {
  local expected="$1"
  shift
  [ "$(status_of "$@")" = "$expected" ]
}

prove_hostile_input() {
  local port="${callers[node-1]}"
  head -c 2000000 /dev/zero | tr '\0' 'x' >"$work/large"
  check "a body that is too large is refused" has_status 413 --data-binary "@$work/large" "http://127.0.0.1:$port/v1/completions"
  check "a body that is no JSON is refused" has_status 400 --data 'no json' "http://127.0.0.1:$port/v1/completions"
  check "an unknown model is refused" has_status 404 --data '{"model":"none","prompt":"p"}' "http://127.0.0.1:$port/v1/completions"
  check "an unknown service is refused" has_status 404 --data x "http://127.0.0.1:$port/services/none/orders"
  check "callers can't reach the configuration" has_status 404 "http://127.0.0.1:$port/configuration"
  check "operators need their token" has_status 403 "http://127.0.0.1:${control[node-1]}/configuration"
  check "peers need theirs" has_status 403 --data '{}' "http://127.0.0.1:${control[node-1]}/peer/gossip"
  check "a key with a line break in it is refused" has_status 400 --header $'Idempotency-Key: a\tb' --data x \
    "http://127.0.0.1:$port/services/bookings/orders"
}

keyed_order_refused() {
  [ "$(order "$1" "$2" "$work/outage.order")" = 503 ] && grep -q '"code":3005' "$work/outage.order"
}

prove_log_outage() {
  local name version
  version="$(version_at node-1)"
  set_faults "$log" '{"outage": "breaking"}'
  for name in $nodes; do
    check "$name generates while the log is down" answers "${callers[$name]}" assistant
  done
  check "a keyed order is refused as not run while the log is down" keyed_order_refused "${callers[node-1]}" order-outage
  check "and was not run" test "$(executions_of order-outage)" = 0
  start_node node-fresh hakata
  check "a new node becomes ready while the log is down" until_true 20 is_ready "${callers[node-fresh]}"
  check "with the configuration of its peers" test "$(version_at node-fresh)" = "$version"
  check "and generates" until_true 10 answers "${callers[node-fresh]}" assistant
  set_faults "$log" '{}'
  check "the order runs once the log is back" until_true 15 order_succeeds "${callers[node-2]}" order-outage
  check "exactly once" test "$(executions_of order-outage)" = 1
}

order_succeeds() { [ "$(order "$1" "$2" "$work/order.answer")" = 200 ]; }

texts_of() { grep -o '"text":"[^"]*"' "$1"; }

prove_whole_answers() {
  local port="${callers[node-2]}" name
  completion "$port" assistant 60 "$work/reference"
  check "an undisturbed answer is whole" is_whole "$work/reference" 60
  for name in $engines; do
    set_faults "${engine_port[$name]}" '{"breakStreams": 1, "faultAfterTokens": 20, "doubleChunks": true, "crossChunks": true}'
  done
  completion "$port" assistant 60 "$work/broken"
  check "an answer whose streams break, double and cross is whole" is_whole "$work/broken" 60
  check "and the same, token by token" test "$(texts_of "$work/reference")" = "$(texts_of "$work/broken")"
  for name in $engines; do set_faults "${engine_port[$name]}" '{}'; done
  until_true 15 answers "$port" assistant
}

new_holder() {
  local holder
  holder="$(lease_holder)" && [ "$holder" != "$1" ]
}

prove_controller_killed() {
  local holder number survivor
  holder="$(lease_holder)"
  kill -KILL "${process_of[$holder]}"
  wait "${process_of[$holder]}" 2>/dev/null
  forget_node "$holder"
  survivor="${nodes%% *}"
  write_model after-kill 9000
  check "a patch is accepted after the controller ($holder) was killed" until_true 10 patch_at "$survivor" after-kill
  check "another node takes the lease" until_true 20 new_holder "$holder"
  check "and loads the new model in two failure domains" until_true 30 model_resident_on 2 after-kill
  start_node "$holder-again" hakata
  until_true 20 is_ready "${callers[$holder-again]}" || fail "a replacement becomes ready"
}

has_version() { [ "$(version_at "$1")" = "$2" ]; }

prove_controller_frozen() {
  local holder survivor name
  holder="$(lease_holder)"
  for name in $nodes; do [ "$name" = "$holder" ] || survivor="$name"; done
  kill -STOP "${process_of[$holder]}"
  write_model after-freeze 9000
  check "a patch is accepted while the controller ($holder) is frozen" until_true 10 patch_at "$survivor" after-freeze
  check "another node loads the new model in two failure domains" until_true 40 model_resident_on 2 after-freeze
  kill -CONT "${process_of[$holder]}"
  check "the thawed node follows the version in force" until_true 12 has_version "$holder" "$(version_at "$survivor")"
  check "the thawed node answers" until_true 10 answers "${callers[$holder]}" assistant
  check "no engine was overcommitted" never_overcommitted
}

prove_at_most_once() {
  local first second name port
  first="$(random_node)"
  for name in $nodes; do [ "$name" = "$first" ] || second="$name"; done
  for port in "$bookings_1" "$bookings_2"; do set_faults "$port" '{"answerDelayMilliseconds": 10000}'; done
  order "${callers[$first]}" order-killed "$work/killed.order" >/dev/null &
  local waiting=$!
  until_true 5 ran_exactly_once order-killed
  kill -KILL "${process_of[$first]}"
  wait "${process_of[$first]}" "$waiting" 2>/dev/null
  forget_node "$first"
  order "${callers[$second]}" order-killed "$work/killed.again" >/dev/null
  check "the node was killed before the order was answered" test ! -s "$work/killed.order"
  check "an order whose first node was killed is not run again elsewhere" ran_exactly_once order-killed
  check "its caller is told what is known" grep -q '"code":\(5000\|5001\)' "$work/killed.again"
  grep -q '"code":500[01]' "$work/killed.again" ||
    echo "      $second answered \"$(head -c 500 "$work/killed.again")\""
  for port in "$bookings_1" "$bookings_2"; do set_faults "$port" '{"crashAfterExecution": 1}'; done
  order "${callers[$second]}" order-crashed "$work/crashed.order" >/dev/null
  order "${callers[$second]}" order-crashed "$work/crashed.again" >/dev/null
  for port in "$bookings_1" "$bookings_2"; do set_faults "$port" '{}'; done
  check "an order whose service crashed after it ran is not run again" ran_exactly_once order-crashed
  check "its caller is told that the outcome is unknown" grep -q '"code":5000' "$work/crashed.order"
  start_node "$first-again" kumamoto
  until_true 20 is_ready "${callers[$first-again]}" || fail "a replacement becomes ready"
}

ran_exactly_once() { [ "$(executions_of "$1")" = 1 ]; }

crashes() {
  local name sum=0
  for name in $engines; do sum=$((sum + $(truth_number "${engine_port[$name]}" crashes))); done
  echo "$sum"
}

quarantined_at() {
  curl --silent --max-time 20 --data '{"model":"assistant","prompt":"<<crash>> the bellows","max_tokens":5}' \
    "http://127.0.0.1:${callers[$1]}/v1/completions" | grep -q '"code":3006'
}

prove_crashing_request() {
  local before name all=($nodes)
  before="$(crashes)"
  quarantined_at "${all[0]}"
  until_true 20 quarantined_at "${all[0]}"
  sleep "$QUARANTINE_SPREAD_SECONDS"
  for name in $nodes; do
    check "$name refuses a request that crashed two upstreams" until_true 5 quarantined_at "$name"
  done
  check "no third upstream crashed" test $(($(crashes) - before)) -le 2
  for name in $nodes; do
    check "$name answers other requests afterwards" until_true 40 answers "${callers[$name]}" assistant
  done
  until_true 40 model_resident_on 2 assistant || fail "the model is resident in two failure domains again"
}

executed_attempts() { truth "$1" | grep -o '"executions":{[^}]*}' | grep -o ':[0-9]\+' | wc -l; }

prove_leaving_upstream() {
  local port="${engine_port[engine-a]}" before name attempt
  curl --silent --output /dev/null --request PUT "http://127.0.0.1:$vms/standin/vms" \
    --data "[{\"address\": \"http://127.0.0.1:$port\", \"failureDomain\": \"hakata\", \"kind\": \"upstream\", \"leaving\": true}]"
  sleep 3.5
  before="$(executed_attempts "$port")"
  for attempt in 1 2 3 4 5; do
    for name in $nodes; do answers "${callers[$name]}" assistant || fail "$name answers while an upstream leaves"; done
  done
  check "a leaving upstream gets no new work after 3 s, at any node" test "$(executed_attempts "$port")" = "$before"
  curl --silent --output /dev/null --request PUT "http://127.0.0.1:$vms/standin/vms" --data '[]'
}

# call_balanced FILE: calls ready nodes in turn until the file "$work/stop.load" exists; notes each failure.
call_balanced() {
  local name port number=0
  : >"$1"
  while [ ! -e "$work/stop.load" ]; do
    for port in $(cat "$work/balancer" 2>/dev/null); do
      is_ready "$port" || continue
      number=$((number + 1))
      completion "$port" assistant 15 "$1.stream"
      if is_whole "$1.stream" 15; then echo answered >>"$1"; else echo "failed at $port" >>"$1"; cp "$1.stream" "$1.failed"; fi
    done
  done
}

write_balancer() {
  local name
  for name in $nodes; do echo "${callers[$name]}"; done >"$work/balancer.next"
  mv "$work/balancer.next" "$work/balancer"
}

prove_rolling_replacement() {
  local name number=0 replaced="$nodes" loads=() load
  write_balancer
  rm -f "$work/stop.load"
  for load in 1 2 3; do
    call_balanced "$work/load.$load" &
    loads+=($!)
  done
  for name in $replaced; do
    number=$((number + 1))
    start_node "rolling-$number" "$(domain_of_number "$number")"
    until_true 20 is_ready "${callers[rolling-$number]}" || fail "a replacement becomes ready"
    write_balancer
    kill -TERM "${process_of[$name]}"
    wait "${process_of[$name]}"
    forget_node "$name"
    write_balancer
  done
  touch "$work/stop.load"
  wait "${loads[@]}"
  cat "$work"/load.[123] >"$work/load.all"
  check "all nodes were replaced one by one under load without a failed request ($(grep -c answered "$work/load.all") answered)" \
    test "$(grep -c failed "$work/load.all")" = 0
}

prove_restart_of_all() {
  local name version number=0 ended="$nodes"
  version="$(version_at "${nodes%% *}")"
  for name in $ended; do kill -KILL "${process_of[$name]}"; done
  for name in $ended; do
    wait "${process_of[$name]}" 2>/dev/null
    forget_node "$name"
  done
  for name in $ended; do
    number=$((number + 1))
    start_node "restarted-$number" "$(domain_of_number "$number")"
  done
  for name in $nodes; do
    check "$name has the configuration after all nodes were killed" until_true 20 has_version "$name" "$version"
    check "$name answers" until_true 20 answers "${callers[$name]}" assistant
  done
  write_model after-restart 1000
  check "and a new model is loaded" until_true 20 patch_at "${nodes%% *}" after-restart
  check "in two failure domains" until_true 40 model_resident_on 2 after-restart
}
