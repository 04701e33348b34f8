#!/bin/sh
# Puts the project's stand-ins, which the scripts of review/4 to review/8 use, beside
# the dependencies that the build of the deploy file has placed under target/deps.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
cp -r src/standins target/review-2/
cp review/site2.py target/review-2/
python3 -m compileall -q target/review-2
