#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. Run it after the build command of deploy/system.toml.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
rm -rf "$root/review/out"
mkdir -p "$root/review/out"
javac -nowarn -d "$root/review/out" "$root"/review/standin/*.java
