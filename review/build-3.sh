#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts, and the project's own that they use, into
# target/review-3. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -d target/review-3 -cp target/chicorylane-platform.jar \
  standins/src/main/java/org/chicorylane/standin/metadata/*.java review/src-3/*.java
