#!/usr/bin/env bash
# Archives the classes that a busy instance loads, so that a restarted one starts faster.
# Without the archive the program runs all the same, so a failure here is reported and passed over.
set -uo pipefail
cd "$(dirname "$0")/.."
options=$(grep -o 'java .* -jar' deploy/system.toml | sed 's/^java //; s/ -jar$//; s/-XX:SharedArchiveFile=[^ ]*//; s/-Xshare:auto//')
work=target/training
rm -rf "$work" target/chicorylane-platform.jsa
mkdir -p "$work"
java -cp "standins/target/classes:target/chicorylane-platform.jar" org.chicorylane.standin.wire.TrainingRun "$work/settings.json" "$work/peer.json" "$work/kill-peer" > "$work/trainer.log" 2>&1 &
trainer=$!
for _ in $(seq 100); do
  [ -s "$work/peer.json" ] && break
  sleep 0.1
done
# shellcheck disable=SC2086 # the options are words
CHICORYLANE_CONFIG="$work/settings.json" java $options -XX:ArchiveClassesAtExit=target/chicorylane-platform.jsa -jar target/chicorylane-platform.jar serve > "$work/instance.log" 2>&1 &
instance=$!
# shellcheck disable=SC2086
CHICORYLANE_CONFIG="$work/peer.json" java $options -jar target/chicorylane-platform.jar serve > "$work/peer.log" 2>&1 &
peer=$!
while kill -0 "$trainer" 2> /dev/null && [ ! -e "$work/kill-peer" ]; do
  sleep 0.1
done
kill -KILL "$peer"
wait "$peer" 2> /dev/null
wait "$trainer" || echo "archive.sh: the training run failed, see $work/trainer.log" >&2
kill -TERM "$instance"
wait "$instance"
[ -s target/chicorylane-platform.jsa ] || echo "archive.sh: no class archive was written, see $work/instance.log" >&2
exit 0
