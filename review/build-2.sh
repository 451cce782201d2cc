#!/bin/sh
# Copies the stand-ins of the second review's cases, and the project's own that they
# use, to where the cases run them. Needs the build of the deploy file, and no network.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
cp -Rp packages/banyanshelf-standins/src/banyanshelf_standins target/review-2/
cp -Rp review/standins_2/review_standins_2 target/review-2/
find target/review-2 -name __pycache__ -prune -exec rm -rf {} +
