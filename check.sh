#!/bin/sh
# Everything that main must pass; `.ci/run` calls it too. No step hangs on the clock or the machine.
set -eux
cd "$(dirname "$0")"
cargo build --release --locked
cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked
cargo test --workspace --locked
# The lab plays short scenarios with fixed seeds; rules and least services must hold.
lab() {
    cargo run --quiet --locked -p heronhoist-lab -- "$@"
}
lab check scenarios/*.toml scenarios/council/*.toml scenarios/found/*.toml
for scenario in herd zone-cut rolling-release; do
    lab run "scenarios/$scenario.toml" --seeds 1..2
done
# One of a hundred agents before sixty servers; and agents that take themselves for one of three (the planted fault).
playing=""
for scenario in burst release building replaced late-lists restarts; do
    lab run "scenarios/fleet-$scenario.toml" --seeds 1 &
    playing="$playing $!"
done
for one in $playing; do
    wait "$one"
done
planted=0
lab run scenarios/fleet-burst.toml --seeds 1 --set agents.balancers=3 || planted=$?
test "$planted" -eq 1 # 1: something did not hold; 2 would be that it could not be played
# Memory stays flat while servers come and go; agents that keep a little of each attempt (the planted fault) do not.
lab run scenarios/soak.toml --seeds 1 --set length_ms=240000
planted=0
lab run scenarios/soak.toml --seeds 1 --set length_ms=240000 --set agents.leak_bytes=200 || planted=$?
test "$planted" -eq 1
# A fleet that turns from the old dialect to the new under load; and translations that are wrong (the planted faults).
lab run scenarios/mixed-rolling.toml --seeds 1
for fault in keys fields; do
    planted=0
    lab run scenarios/mixed-rolling.toml --seeds 1 --set "dialects.planted=\"$fault\"" || planted=$?
    test "$planted" -eq 1
done
# Several processes agree while links, processes and disks fail; and what the checkers must find (the planted faults).
lab run scenarios/council-faults.toml --seeds 1..12
lab run scenarios/council-faults.toml --seeds 1..4 --set council.log_entries=4096 # who is taken in catches up
lab run scenarios/council-permits.toml --seeds 1..12
for fault in ack-before-sync stale-read applied-twice lease-without-margin; do
    planted=0
    lab run scenarios/council-faults.toml --seeds 1..12 --set "planted=\"$fault\"" || planted=$?
    test "$planted" -eq 1
done
planted=0
lab run scenarios/council-permits.toml --seeds 1..20 --set 'planted="freed-by-silence"' || planted=$?
test "$planted" -eq 1
# Budgets that count the dead, and drains that all agents keep; and what the judge must find (the planted faults).
lab run scenarios/release-servers.toml --seeds 1..8
for planted_at in counted-before:5 barrier-forgets:18; do
    planted=0
    lab run scenarios/release-servers.toml --seeds "${planted_at#*:}" --set "planted=\"${planted_at%:*}\"" || planted=$?
    test "$planted" -eq 1
done
for scenario in scenarios/council/*.toml; do
    lab run "$scenario" --seeds 1..4
done
# The same with processes of the program behind faulty links, for a few seconds.
lab run scenarios/council-faults.toml --seeds 1 --real --set length_ms=6000
lab run scenarios/council-permits.toml --seeds 1 --real --set length_ms=6000 --set agents.count=6
lab run scenarios/council/cut-disk.toml --seeds 1 --real
lab run scenarios/council/old-disk.toml --seeds 1 --real
# What hunt has found stays mended.
lab run scenarios/found/all-cold.toml --seeds 27387..27392
lab run scenarios/found/cold-and-full.toml --seeds 1064
lab run scenarios/found/cold-and-late.toml --seeds 20061..20066
lab run scenarios/found/cold-and-looked-at.toml --seeds 25084..25089
lab run scenarios/found/one-cold-left.toml --seeds 5237..5242
lab run scenarios/found/short-deadline.toml --seeds 24194..24196
lab run scenarios/found/tight-aim.toml --seeds 5159
lab run scenarios/found/dead-but-listed.toml --seeds 9353..9355
# The real agent on sockets: what does not hang on how fast the machine is.
lab run scenarios/smoke.toml --real --timeless
