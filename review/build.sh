#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review; needs only the JDK.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review
mkdir -p target/review
javac -nowarn -d target/review review/*.java
