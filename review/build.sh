#!/bin/sh
# Builds the stand-ins of the cases; needs a JDK 17 only. Run it after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")"
rm -rf target
mkdir -p target/classes target/lab
javac --release 17 -Xlint:all -d target/classes rig/*.java faults/*.java
javac --release 17 -Xlint:all -d target/lab lab/*.java
