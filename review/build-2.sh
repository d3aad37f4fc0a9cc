#!/bin/sh
# Build what the cases 6 to 10 start beside the system itself. All stand-ins are Python
# without packages of their own (common-2/), so that there is only their syntax to check.
set -e
cd "$(dirname "$0")"
for file in common-2/*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
    if [ -f "$file" ]; then
        python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
    fi
done
