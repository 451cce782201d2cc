#!/bin/sh
# Runs one case: run-case.sh FOLDER MODULE. Exit codes: 0 held, 1 broken, 2 not run.
case_folder=$1
mkdir -p "$case_folder"
module=$2
cd "$case_folder/../.." || exit 2
if ! [ -f target/app/banyanshelf_platform/main.py ]; then
    echo "run the build of deploy/system.toml first" >&2
    exit 2
fi
if ! [ -d review/target/app/review_standins ]; then
    echo "run review/build.sh first" >&2
    exit 2
fi
export PYTHONPATH="review/target/app:target/deps"
export PYTHONDONTWRITEBYTECODE=1
python3 -m "review_standins.$module" "$case_folder"
case $? in
0) exit 0 ;;
3) exit 1 ;;
*) exit 2 ;;
esac
