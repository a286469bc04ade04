"""Starts the platform entry from the source tree, without installation."""

import signal
import sys
from pathlib import Path

_ROOT = Path(__file__).resolve().parent.parent
_SOURCES = ('packages/core', 'packages/runtime', 'packages/entry', 'platform')

# The settings are read later; without a handler, the signal would be fatal.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
sys.path.extend(str(_ROOT / source / 'src') for source in _SOURCES)

if __name__ == '__main__':
    from buckthornpond_platform.cli import main

    main()
