#!/bin/sh
# Builds the stand-ins of the cases review/6 to review/10. Needs a JDK 17 only, no network and no library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -encoding UTF-8 -d target/review-2 review/standins-2/review2/*.java
