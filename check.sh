#!/bin/sh
# Runs every check that main must pass; `.ci/run` calls it too. Steps that measure time use
# the bounds of the protocol (a response later than 0.5 s after its time is lost), and no tighter ones.
set -eux
cd "$(dirname "$0")"
# The last step of this build uses one thread for a long time, so the others run in parallel, in a target directory of their own.
cargo build --release --locked &
release=$!
cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked
# Tests of faults that are known and not fixed yet are named in KNOWN-RED.txt, in lines that begin with "test NAME". They are printed
# and skipped; all others run.
known_red=$(sed -n 's/^test \([a-z0-9_:]*\) .*/--skip \1/p' KNOWN-RED.txt)
grep '^test ' KNOWN-RED.txt || true
# Names are separate words.
# shellcheck disable=SC2086
cargo test --workspace --locked -- --exact $known_red

# The lab runs scenarios with fixed seeds. Each line holds the expected exit code and the arguments of the run. The code is 1 where
# an injected bug must be found (2 means that the run was impossible). Runs are parallel, which does not affect their results.
cargo build --locked -p heronhoist-lab
target/debug/heronhoist-lab check scenarios/*.toml scenarios/council/*.toml scenarios/found/*.toml
plays() {
    # The service that clients get; injected bug: each of 100 agents assumes that there are only three.
    for scenario in herd zone-cut rolling-release; do
        echo "0 scenarios/$scenario.toml --seeds 1..2"
    done
    for scenario in burst release building replaced late-lists restarts; do
        echo "0 scenarios/fleet-$scenario.toml --seeds 1"
    done
    echo "1 scenarios/fleet-burst.toml --seeds 1 --set agents.balancers=3"
    # The combined load of all agents on cold servers, for any number of agents; injected bug: each acts as if alone.
    for agents in 5 20 30 100 300; do
        echo "0 scenarios/cold-ramp.toml --seeds 1 --set agents.count=$agents"
    done
    echo "1 scenarios/cold-ramp.toml --seeds 1 --set agents.count=100 --set agents.balancers=1"
    # The same, checked only by the budget and its allowance for random variation.
    echo "0 scenarios/cold-ramp.toml --seeds 2 --set agents.count=300 --set fleet.bears_chance=true"
    echo "1 scenarios/cold-ramp.toml --seeds 1 --set agents.count=300 --set agents.balancers=1 --set fleet.bears_chance=true"
    # The same formula where one server is cold beside overloaded ones, a building recovers at once, and servers restart twice.
    for world in one site twice; do
        echo "0 scenarios/cold-$world.toml --seeds 1 --set agents.count=10"
    done
    echo "1 scenarios/cold-twice.toml --seeds 1 --set agents.count=300 --set agents.balancers=1"
    # Memory does not grow while servers are replaced; injected bug: agents leak a few bytes for each attempt.
    echo "0 scenarios/soak.toml --seeds 1 --set length_ms=240000"
    echo "1 scenarios/soak.toml --seeds 1 --set length_ms=240000 --set agents.leak_bytes=200"
    # A fleet that changes from the old dialect to the new one under load; injected bug: wrong translations.
    echo "0 scenarios/mixed-rolling.toml --seeds 1"
    echo "1 scenarios/mixed-rolling.toml --seeds 1 --set 'dialects.planted=\"keys\"'"
    echo "1 scenarios/mixed-rolling.toml --seeds 1 --set 'dialects.planted=\"fields\"'"
    # Coordinator processes stay consistent while links, processes and disks fail, and a process that is added catches up.
    echo "0 scenarios/council-faults.toml --seeds 1..12"
    echo "0 scenarios/council-faults.toml --seeds 1..4 --set council.log_entries=4096"
    echo "0 scenarios/council-permits.toml --seeds 1..12"
    for fault in ack-before-sync:1..3 stale-read:6..7 applied-twice:9..12 lease-without-margin:1..2; do
        echo "1 scenarios/council-faults.toml --seeds ${fault#*:} --set 'planted=\"${fault%:*}\"'"
    done
    echo "1 scenarios/council-permits.toml --seeds 3 --set 'planted=\"freed-by-silence\"'"
    echo "1 scenarios/council/failing-disk.toml --seeds 1..2 --set 'planted=\"ack-before-failed-sync\"'"
    for scenario in scenarios/council/*.toml; do
        echo "0 $scenario --seeds 1..4"
    done
    # Disruption budgets that count servers that are down, and drains that all agents obey.
    echo "0 scenarios/release-servers.toml --seeds 1..8"
    echo "1 scenarios/release-servers.toml --seeds 5 --set 'planted=\"counted-before\"'"
    echo "1 scenarios/release-servers.toml --seeds 18 --set 'planted=\"barrier-forgets\"'"
    # The same for a few seconds, with real processes that communicate over faulty links.
    echo "0 scenarios/council-faults.toml --seeds 1 --real --set length_ms=6000"
    echo "0 scenarios/council-permits.toml --seeds 1 --real --set length_ms=6000 --set agents.count=6"
    echo "0 scenarios/council/cut-disk.toml --seeds 1 --real"
    echo "0 scenarios/council/old-disk.toml --seeds 1 --real"
    echo "0 scenarios/release-servers.toml --seeds 1 --real --set length_ms=6000 --set agents.count=6"
    # Regression tests: scenarios that `hunt` found.
    echo "0 scenarios/found/all-cold.toml --seeds 27387..27392"
    echo "0 scenarios/found/cold-and-full.toml --seeds 1064"
    echo "0 scenarios/found/cold-and-late.toml --seeds 20061..20066"
    echo "0 scenarios/found/cold-and-looked-at.toml --seeds 25084..25089"
    echo "0 scenarios/found/one-cold-left.toml --seeds 5237..5242"
    echo "0 scenarios/found/short-deadline.toml --seeds 24194..24196"
    echo "0 scenarios/found/tight-aim.toml --seeds 5159"
    echo "0 scenarios/found/dead-but-listed.toml --seeds 9353..9355"
    # The real agent on sockets: the checks that do not depend on the speed of the machine.
    echo "0 scenarios/smoke.toml --real --timeless"
}
plays | xargs -P "$(nproc)" -d '\n' -n 1 sh -c '
    wanted=${1%% *}
    got=0
    said=$(eval "target/debug/heronhoist-lab run ${1#* }" 2>&1) || got=$?
    test "$got" -eq "$wanted" || {
        printf "run %s: exit code %s, wanted %s\n%s\n" "${1#* }" "$got" "$wanted" "$said"
        exit 1
    }
    printf "run %s: %s, as wanted\n" "${1#* }" "$got"
' play
wait "$release"
