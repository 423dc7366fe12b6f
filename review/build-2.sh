#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2, with the JDK alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/standin-2/*.java
