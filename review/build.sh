#!/bin/sh
# Builds the stand-ins of the cases. Needs the JDK only, no network.
set -eu
cd "$(dirname "$0")"
rm -rf build
mkdir build
javac -Xlint:all -d build standins/*.java
