#!/usr/bin/env bash
# Compiles the stand-ins and the cases into target/review; needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -d target/review review/standin/*.java review/[1-4]/*.java
