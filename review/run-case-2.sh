#!/bin/sh
# Runs one case of the second review: run-case-2.sh FOLDER MODULE. Exits with 1 if the
# rule was broken, 0 if it held and 2 if the case could not run.
folder="$1"
cd "$(dirname "$0")/.." || exit 2
[ -d target/deps ] && [ -d target/review-2 ] || {
    echo "run deploy/build.sh and review/build-2.sh first" >&2
    exit 2
}
PYTHONPATH=target/review-2:target/deps:target/app
export PYTHONPATH
python3 -c "import review_standins_2.$2" || exit 2
exec python3 -m "review_standins_2.$2" "$folder"
