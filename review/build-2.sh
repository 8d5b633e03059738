#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 6 to 10, after the build of the deploy file. Needs
# the JDK and target/chicorylane-platform.jar only; reaches no network.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -nowarn -d target/review-2 -cp target/chicorylane-platform.jar \
  standins/src/main/java/org/chicorylane/standin/metadata/*.java review/src-2/*.java
