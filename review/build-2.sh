#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts 6 to 10 into target/review-2.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review-2"
javac -nowarn -d "$root/target/review-2" "$root"/review/standin-2/*.java
