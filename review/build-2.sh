#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10. They are Python programs, so they are only checked here; nothing is written
# into the repository. The programs of the project come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
PYTHONPYCACHEPREFIX="$folder" python3 -m py_compile review/lib-2/*.py review/lib-3/*.py review/{6,7,8,9,10}/case.py \
    tests/platform/processes/{engine,store,site_processes}.py
for program in chivewinch-platform-entry chivewinch-platform-agent; do
    [ -x "target/bin/$program" ] || echo "target/bin/$program is missing; run the build of deploy/system.toml" >&2
done
