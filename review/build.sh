#!/usr/bin/env bash
# Builds the stand-ins of the cases, after the build of the deploy file. Needs the JDK and target/lib alone, no network.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-classes
rm -rf "$out"
mkdir -p "$out"
javac -nowarn -d "$out" -cp 'target/lib/*' $(find review -name '*.java')
