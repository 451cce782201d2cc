#!/bin/sh
# Installs the runtime libraries and a compiled copy of the program under target/.
# The gateway processes cannot write to the repository; without the compiled copy, each
# start would compile the sources again.
set -eu
cd "$(dirname "$0")/.."
if ! [ target/deps -nt deploy/requirements.txt ]; then
    python3 -m pip install -q -U --no-deps --target target/deps \
        -r deploy/requirements.txt
    touch target/deps
fi
rm -rf target/app
mkdir -p target/app
for folder in packages/banyanshelf-core packages/banyanshelf-wire \
    packages/banyanshelf-daemon; do
    cp -Rp "$folder"/src/* target/app/
done
cp -Rp platform/banyanshelf_platform target/app/
find target/app -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q target/app
python3 -m compileall -q target/deps || true
