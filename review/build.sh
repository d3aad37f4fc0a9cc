#!/bin/sh
# Build the stand-ins of the cases: plain Python files, which need no more than the
# modules of the standard library.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/siskinroad_platform || {
    echo "run the build command of deploy/system.toml first" >&2
    exit 2
}
python3 -m compileall -q review
