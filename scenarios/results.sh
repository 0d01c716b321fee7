#!/bin/sh
# Writes docs/lab-results.md: the six named scenarios, with every policy, 20 seeds each.
set -eu
cd "$(dirname "$0")/.."
cargo run --release --quiet --locked -p heronhoist-lab -- table --seeds 1..20 --out docs/lab-results.md \
    scenarios/quiet.toml scenarios/storm.toml scenarios/zone-cut.toml \
    scenarios/herd.toml scenarios/rolling-release.toml scenarios/cold-building.toml
