#!/bin/sh
# Builds the stand-ins that the cases start: the project's own and those of the review.
set -eu
cd "$(dirname "$0")/.."
rm -rf review/target
mkdir -p review/target/app
cp -Rp packages/banyanshelf-standins/src/banyanshelf_standins review/target/app/
cp -Rp review/standins/review_standins review/target/app/
find review/target/app -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q review/target/app
