#!/usr/bin/env bash
# Builds the stand-ins and cases of this review into target/review-3.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review-3"
javac -nowarn -d "$root/target/review-3" "$root"/review/standin-3/*.java
