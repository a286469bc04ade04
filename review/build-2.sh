#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: plain Python without packages.
# The entry itself comes from the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
python3 -B - <<'CHECK'
import sys
from pathlib import Path

assert sys.version_info >= (3, 11), sys.version
for path in sorted(Path('review').glob('*_2.py')) + [
    path
    for number in range(6, 11)
    for path in Path(f'review/{number}').glob('*.py')
]:
    compile(path.read_text(), str(path), 'exec')
CHECK
