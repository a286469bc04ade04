#!/bin/sh
# The stand-ins of review 3 stand in the folder of each case, in plain Python
# 3.11 without packages: there is nothing to compile. This checks that they can
# be loaded, so that a script fails here and not while it runs. No network.
set -e
cd "$(dirname "$0")"
for case in 11 12 13 14 15; do
    [ -d "$case" ] || continue
    (cd "$case" && PYTHONDONTWRITEBYTECODE=1 python3 -c 'import bed.beds')
done
