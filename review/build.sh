#!/usr/bin/env bash
# Builds every stand-in and case with the JDK alone; after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for case in [0-9]*/; do
    mkdir -p "target/$case"
    javac -Xlint:-options -d "target/$case" standin/*.java "$case"*.java
done
