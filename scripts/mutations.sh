#!/usr/bin/env bash
# Takes one protecting rule at a time out of a copy of the tree and runs the test that must fail then.
# Prints one line for each rule: "caught" when the test failed without the rule, "MISSED" otherwise.
# Not part of CI: it builds the tree once for every rule.
set -uo pipefail
cd "$(dirname "$0")/.."

copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git archive HEAD | tar -x -C "$copy"
cd "$copy"
export CARGO_TARGET_DIR="$copy/target"
cargo test --locked --no-run --quiet 2>/dev/null
missed=0

mutate() { # rule | file | perl substitution | cargo test arguments
  local rule=$1 file=$2 substitution=$3
  shift 3
  cp "$file" "$copy/original"
  perl -0pi -e "$substitution" "$file"
  if cmp -s "$file" "$copy/original"; then
    echo "NO CHANGE  $rule"
    missed=$((missed + 1))
    return
  fi
  if timeout 300 cargo test --locked --quiet "$@" >"$copy/output" 2>&1; then
    echo "MISSED     $rule"
    missed=$((missed + 1))
  elif grep -q 'could not compile' "$copy/output"; then
    echo "NO BUILD   $rule"
    missed=$((missed + 1))
  else
    echo "caught     $rule ($*)"
  fi
  cp "$copy/original" "$file"
}

raft=src/control/raft/mod.rs
election=src/control/raft/election.rs
leading=src/control/raft/leading.rs
ledger=src/control/ledger.rs
owner=src/policy/owner/mod.rs
loads=src/policy/owner/loads.rs
random="--test random"
scripts="--test scenarios"
processes="--test processes"
orders="--test orders_once"
stops="--test planned_stops"
control="--test control_processes"

mutate "votes only for an up-to-date log" $election 's/\(last_term, last_index\) >= own/true/' $random
mutate "a vote is stored" $election 's/self\.hard_state\.vote = Some\(from\);\n\s*self\.hard_state_changed = true;/self.hard_state.vote = Some(from);/' --test raft
mutate "a replica that hears a leader does not vote" $raft 's/Message::Vote \{ transfer, \.\. \} if !transfer \&\& self\.has_active_leader\(now_ms\) => return,//' --test raft
mutate "a read waits for a majority round" $leading 's/if !self\.members\.has_quorum\(&confirmed\) \{\n\s*return;\n\s*\}//' $scripts control
mutate "a leader that hears no majority steps down" $leading 's/if !self\.members\.has_quorum\(&heard\)/if false/' $scripts control
mutate "the leader counts itself only once stored" $leading 's/indexes\.push\(self\.stable_index\)/indexes.push(self.last_index())/' --test raft
mutate "a lost claimer leaves its claims unknown" $ledger 's/record\.state = RecordState::Unknown;\n\s*self\.settled\.push_back/self.settled.push_back/' $scripts control
mutate "keys without a time are never forgotten" $ledger 's/RecordState::Finished\(answer\) => \*answer = None,/RecordState::Finished(_) => { self.records.remove(&key); }/' $scripts control
mutate "a claim that is sent again is the same" $ledger 's/RecordState::Claimed \{ \.\. \} if record\.claim_id == claim\.claim_id => \{/RecordState::Claimed { .. } if false => {/' $scripts control
mutate "an ended registration claims nothing" $ledger 's/if !gateway_is_current \{/if false {/' $scripts control
mutate "one key is one call" $ledger 's/if record\.body != claim\.body/if false/' $scripts control
mutate "equal versions need equal content" src/control/config.rs 's/if document == stored \{/if document.version() == stored_version {/' $scripts control
mutate "a release needs the epoch" src/control/fleet.rs 's/record\.epoch != epoch \|\| record\.owner\.is_none\(\)/record.owner.is_none()/' $scripts control
mutate "what serves is not idle" $loads 's/\&\& slot\.running == 0\n/\n/' $scripts owner
mutate "what an earlier owner runs is not idle" $loads 's/\&\& slot\.inherited == 0\n/\n/' $scripts owner
mutate "nothing is unloaded before the engine was asked" $owner 's/self\.is_verified = !self\.is_engine;//' $scripts owner
mutate "a request counts on its own load only" $owner 's/\&\& slot\.generation == generation\n/\n/' $scripts owner
mutate "queues are bounded" $owner 's/if self\.queue\.len\(\) < self\.settings\.queue_max \{/if true {/' $scripts owner
mutate "a damaged middle is refused" src/control/storage.rs 's/if let Some\(next\) = find_record\(&bytes, offset \+ 1\) \{/if let Some(next) = None::<usize> {/' --test storage
mutate "a replaced log is dropped" src/control/storage.rs 's/self\.replaced = entry\.term != self\.snapshot_term;/self.replaced = false;/' --test storage
mutate "a cut stream is not whole" src/gateway/stream.rs 's/self\.done \&\& self\.buffer\.is_empty\(\)/true/' --test streams
mutate "the version must be the one named" src/gateway/stream.rs 's/ \&\& version\.parse\(\) == Ok\(adapter\.version\)//' --test streams
mutate "a new leader waits for old permits" src/control/permit.rs 's/now_ms \+ self\.budget\.load_timeout_ms \};/now_ms };/' --test permits
mutate "retries are earned, not granted anew" src/relay/budget.rs 's/self\.tokens\.min\(self\.cap\)/slack + self.requests.len() as f64 * self.ratio * 0.8 - self.retries.len() as f64/' --test retry_budget
mutate "saved retries have a cap" src/relay/budget.rs 's/self\.tokens\.min\(self\.cap\)/self.tokens/' --test retry_random
mutate "the most gateways of a window share the slack" src/relay/gateway_count.rs 's/Some\(self\.earlier\.front\(\)\.map_or\(told, \|\(_, before\)\| \*before\)\)/Some(told)/' --test gateway_count
mutate "a share of the slack needs a window in touch" src/relay/gateway_count.rs 's/first_ms \+ self\.window_ms > now_ms \|\| //' --test retry_shares
mutate "a round schedules no other" src/control/server.rs 's/\/\/ Nothing came after this.*?return Ok\(\(\)\);//s' $control an_idle_replica
mutate "a silent owner whose lease ended is given up" src/gateway/exchange.rs 's/if self\.is_owner_gone\(\) \{/if false {/' $processes a_frozen_owner
mutate "a silent engine that is down is given up" src/gateway/run.rs 's/if request\.adapter\.is_none\(\) \|\|/if true ||/' $processes a_request_at_an_engine
mutate "old settings are not served" src/gateway/callers.rs 's/if shared\.lease\.is_fresh\(shared\.now_ms\(\)\) \{/if true {/' $control a_gateway_cut_off
mutate "an unknown outcome is not run again" src/gateway/exchange.rs 's/run == RunState::Unknown \&\& !exchange\.repeatable/false/' $orders an_order_runs
mutate "a lost disk is a new replica" src/control/boot.rs 's/if stages\.contains\(&Some\(ProbeReply::Established\)\)/if false/' $control a_replica_with
mutate "a planned stop hands over" src/gateway/process.rs 's/let _ = shared\.session\.send\(SessionUp::Leave\);//' $stops a_planned_stop
mutate "a distributor tells what is gone" src/control/distribution/view.rs 's/if !next\.endpoints\.contains_key\(id\) \{/if false {/' --test distribution_random
mutate "an ended link confirms nothing" src/control/distribution/mod.rs 's/for waiting in std::mem::take\(&mut self\.sent\)\.into_values\(\) \{\n\s*self\.waiting\.extend\(waiting\);\n\s*\}//' --test distribution_random
mutate "a stop waits for those that ask" src/gateway/process.rs 's/ \+ shared\.serving\.load\(Ordering::Relaxed\)//' $stops a_planned_stop_waits
mutate "an answer is over once it has arrived" src/gateway/forward.rs 's/receiver\.next\(\)\.await \{\n\s*debug/Ok::<(), Error>(()) {\n debug/' $stops a_planned_stop_waits
mutate "the first list is waited for" src/gateway/exchange.rs 's/\|\| self\.shared\.directory\(\)\.endpoints\(\)\.len\(\) == 0//' $processes requests_wait
versions=src/policy/versions.rs
mutate "each version keeps its own age" $versions 's/weights\.advance\(now_ms\);/weights.coming.clear();/' --test renewed_versions
mutate "a version of unknown age is old enough" $versions 's/weights\.due = version;\n\s*weights\.coming\.clear\(\);/let _ = weights;/' --test renewed_versions
mutate "replaced versions are unloaded in time" src/control/placement/mod.rs 's/self\.unload_replaced_versions\(now_ms\);//' --test placement
mutate "what waits for a replaced version has a bound" src/relay/replaced.rs 's/Some\(self\.versions\.due_at_ms\(now_ms, name, held\)\? \+ self\.begin_within_ms\)/None/' --test renewed_versions
mutate "a version of unknown age bounds at once" src/relay/replaced.rs 's/if self\.version_due\(now_ms, name\) > held \{\n\s*return Some\(now_ms\);\n\s*\}//' --test renewed_versions
incarnations=src/control/replica/incarnations.rs
mutate "an incarnation has an id of its own" src/message/registration.rs 's/if born_ms == 0 \{ name\.into\(\) \}/if true { name.into() }/' --test restarts
mutate "a heartbeat of an earlier incarnation is late" src/control/replica/registration.rs 's/ \|\| self\.is_from_earlier_incarnation\(now_ms, &heartbeat\.endpoint\)//' --test restarts
mutate "a clock that jumped back keeps nobody away" $incarnations 's/endpoint\.born_ms == 0 \|\| !is_silent/true/' --test restarts
mutate "an end right after a restart may be late" $incarnations 's/is_recent && !has_left/false/' --test restarts
mutate "such an end stops new requests" $incarnations 's/RegisteredEndpoint \{ leaving: true, \.\.endpoint \}/endpoint/' --test restarts
mutate "only a heartbeat from after the end takes it back" $incarnations 's/MIN_SEQUENCE_GAP: u64 = 2/MIN_SEQUENCE_GAP: u64 = 1/' --test restarts
mutate "the next leader looks for a previous incarnation" $incarnations 's/self\.state\.registry\.has_previous_incarnation\(known\)/false/' --test restarts
mutate "an open order keeps the next holder waiting" src/control/placement/holders.rs 's/if self\.has_pending_order\(\)/if false/' --test holders
mutate "an order taken for lost may still come" src/control/placement/holders.rs 's/now_ms \+ LOST_ORDER_MS/now_ms/' --test holders
mutate "a stalled disk leaves no lead" src/control/server.rs 's/self\.withdraw_leadership\(\);//' --test stalled_disk
mutate "what was not written has not run" src/http.rs 's/if is_unsent\(&error\)/if false/; s/retry_canceled_requests\(true\)/retry_canceled_requests(false)/' --test http_client not_run
mutate "what was not written goes out again" src/http.rs 's/retry_canceled_requests\(true\)/retry_canceled_requests(false)/' --test http_client
mutate "a missed confirmation is waited for" src/gateway/lease.rs 's/CONFIRMATION_WAIT_MS: u64 = 500/CONFIRMATION_WAIT_MS: u64 = 0/' --test lease
mutate "what broke off waits for the others" src/gateway/exchange.rs 's/\|\| self\.may_run_elsewhere\(\)//' --test broken_off
mutate "what broke off may have run" src/gateway/exchange.rs 's/outcome\.run == RunState::Unknown \|\| self\.given_up\.run == RunState::NotRun/true/' --test broken_off
mutate "no stream is taken up within an event" src/relay/events.rs 's/self\.is_within_event = end_of_whole\.is_none\(\);//' --test relay
mutate "a restarted endpoint keeps its order holder" src/control/registry.rs 's/self\.keep_holder\(other\.address, endpoint\.address\);//' --test registry
mutate "an unknown service ends none that serves" src/control/registry.rs 's/if self\.is_configured\(&endpoint\.service\) \{/if true {/' --test registry
mutate "anchors count as what they stand for" src/nesting.rs 's/self\.anchors\.get\(anchor\)\.copied\(\)\.unwrap_or\(0\)/0/' --test fuzz_documents deep_nesting
crashes=src/policy/crashes
mutate "a feature that was served begins anew" $crashes/records.rs 's/self\.by_feature\.remove\(&key\)\.unwrap_or_default\(\)/Vec::new()/' --test crashes --test crash_cases
mutate "a crash is explained by the feature that is held" $crashes/records.rs 's/        if is_held \{/        if false {/' --test crashes --test crash_cases
mutate "the longest run of a feature counts" $crashes/records.rs 's/ran_ms\.max\(known\.ran_ms\)/ran_ms.min(known.ran_ms)/' --test crashes --test crash_cases
mutate "a crash that is reported again counts once" $crashes/records.rs 's/if let Some\(known\) = crash\.features\.get_mut\(&key\) \{/if let (Some(known), false) = (crash.features.get_mut(&key), true) {/' --test crashes --test crash_cases
mutate "of features always together a content is held first" $crashes/records.rs 's/\(Reverse\(crashes\), key\.prompt_part\(\)\.is_some\(\)\)/(Reverse(crashes), key.prompt_part().is_none())/' --test crash_features
mutate "of features always together one is held" $crashes/mod.rs 's/self\.records\.explain\(key\);\n        \}\n        self\.verdicts/}\n        self.verdicts/' --test crash_features
mutate "what is served is no cause beside what is not" $crashes/evidence.rs 's/None => !\(self\.is_recently_served\(key, crash\) && self\.has_other_candidate\(key, crash\)\),/None => true,/' --test crash_features
mutate "the rate of crashes is weighed" $crashes/evidence.rs 's/highest \/ crash\.used as f64/0.000_01/' --test crashes --test crash_cases
mutate "one gateway at a time tries" $crashes/verdicts.rs 's/known\.since_ms \+ held_ms > now_ms \|\| self\.uncommitted\.contains_key\(&key\)/known.since_ms + held_ms > now_ms/' --test crashes --test crash_cases
mutate "a stall is no lost control" src/policy/running_time.rs 's/\.min\(self\.step_max_ms\)//' --test freshness
mutate "old knowledge decides nothing" src/policy/freshness.rs 's/is_none_or\(\|age_ms\| age_ms < self\.max_age_ms\)/is_none_or(|_| true)/' -p winchvane-platform --test stalled_gateways
mutate "a trial is used once" src/relay/standings.rs 's/ && self\.tried\.insert\(\*key\)//' --test standings
mutate "time goes on while suspended" src/clock.rs 's/left_ms\.min\(POLL_INTERVAL_MS\)/left_ms/' --test clock
mutate "crashes that others explain are no background" $crashes/evidence.rs 's/if !is_same_crash && self\.is_explained_without\(key, other\) \{/if false {/' --test crashes --test crash_cases in_turn
mutate "what was not served lately stands out" $crashes/evidence.rs 's/suspect = \(crashes > most_crashes\)\.then_some\(\*key\);/suspect = None;/' --test crashes --test crash_cases in_turn
mutate "gateways report what they served before a hold" $crashes/mod.rs 's/Some\(Assessment::Hold\) if self\.is_served_report_due\(now_ms, key\) => held\(0\),/Some(Assessment::Hold) if true => held(0),/' --test crashes --test crash_cases gateways_can_report
mutate "what has just failed is tried last" src/following.rs 's/failed_at\.is_none_or\(/true || failed_at.is_none_or(/' --test server_search
pool=src/policy/quota/pool.rs
mutate "what is out is bounded" $pool 's/let scale = [^;]*;/let scale = 1.0;/; s/\.min\(advance_max - self\.holders\.held\(\) as f64\)//' --test quota
mutate "leaders in a row grant no burst each" $pool 's/pool\.level = 0\.0;/pool.level = pool.shares.initial.min(pool.shares.burst);/' --test quota leaders_in_a_row
mutate "only a leader after a long term grants a burst" $pool 's/if ago_ms < self\.bounds\.window_ms \{/if false {/' --test quota
mutate "a new leader counts what another may have let out" $pool 's/pool\.level = pool\.shares\.initial\.min\(pool\.shares\.burst\);/pool.level = pool.shares.burst;/' --test quota
mutate "credit lapses" src/policy/quota/credits.rs 's/if now_ms >= self\.valid_until_ms \{/if false {/' --test quota
mutate "keys are let in for a while only" src/relay/confirmation.rs 's/lease_ms\.saturating_sub\(age_ms\)/1/' -p winchvane-platform --test keys
mutate "the key does not reach the endpoint" platform/src/requests.rs 's/const RESERVED: \[&str; 7\]/const RESERVED: [&str; 5]/; s/    AUTHORIZATION,\n    WORKSPACE,\n//' -p winchvane-platform --test keys
mutate "a shared key is a fault" src/routing/mod.rs 's/if let Some\(holder\) = holder\.filter\(\|holder\| \*holder != name\) \{/if let Some(holder) = holder.filter(|_| false) {/' --test routing
limit=src/policy/endpoint_limit.rs
mutate "gateways share the limit of an endpoint" $limit 's/let equal = 1\.0 \/ f64::from\(others\.gateways\.max\(1\)\);/let equal = 1.0;/' --test endpoint_limit
mutate "demand counts once the others know it" $limit 's/DEMAND_DELAY_MS: u64 = 1_000/DEMAND_DELAY_MS: u64 = 0/' --test endpoint_limit
mutate "an answer that was on its way ends no limit" src/relay/limits.rs 's/if sent_at_ms < limited\.advertised_at_ms \{/if false {/' --test limited_endpoints
mutate "nothing is sent within a backoff" src/relay/pick.rs 's/let backoff_ms = state\.backoff\.wait_ms\(self\.now_ms\);/let backoff_ms = 0;/' --test endpoint_backoff
mutate "single requests after a backoff" src/policy/endpoint_backoff.rs 's/until_ms\.max\(self\.next_probe_ms\)/until_ms/' --test endpoint_backoff
mutate "an announced shutdown outlasts heartbeats" src/relay/known.rs 's/ \|\| now_ms < self\.leaving_until_ms//' --test leaving_endpoints
echo "$missed rules without a test that fails"
[ "$missed" = 0 ]
