#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf review/target
mkdir -p review/target
javac -nowarn -d review/target -cp target/chicorylane-platform.jar \
  standins/src/main/java/org/chicorylane/standin/metadata/MetadataEngine.java review/src/*.java
