#!/bin/sh
# Compiles the stand-ins and checks of the second review's cases, with the JDK alone: no network, no other library.
cd "$(dirname "$0")/standins-2" || exit 1
rm -rf target && mkdir target && exec javac --release 17 -Xlint:all -d target ./*.java
