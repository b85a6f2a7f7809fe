#!/bin/sh
# Checks and compiles the stand-ins of the cases. They are written in Python,
# which meson, and so the build of the project, needs too. No case starts a
# stand-in of the project itself.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))' || {
    echo "python3 3.8 or newer is needed" >&2
    exit 1
}
for file in lib/*.py [1-5]/*.py; do
    [ -f "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
