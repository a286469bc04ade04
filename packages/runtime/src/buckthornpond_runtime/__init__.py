"""Tasks, transports, logs and metrics shared by the processes."""

from collections.abc import Mapping
from importlib import import_module
from types import MappingProxyType
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .calls import HttpCall as HttpCall
    from .clocks import SystemClock as SystemClock
    from .logs import log_event as log_event
    from .logs import start_logging as start_logging
    from .metrics import Metrics as Metrics
    from .settings import load_settings as load_settings
    from .tasks import Inbox as Inbox
    from .tasks import Mailbox as Mailbox
    from .tasks import Supervisor as Supervisor

# Loaded on first use, so that a process imports only what it needs.
_MODULES: Mapping[str, str] = MappingProxyType(
    {
        'SystemClock': '.clocks',
        'HttpCall': '.calls',
        'log_event': '.logs',
        'start_logging': '.logs',
        'Metrics': '.metrics',
        'load_settings': '.settings',
        'Inbox': '.tasks',
        'Mailbox': '.tasks',
        'Supervisor': '.tasks',
    }
)


def __getattr__(name: str) -> Any:
    """Import a public name from its module."""
    if name not in _MODULES:
        raise AttributeError(name)
    return getattr(import_module(_MODULES[name], __name__), name)
