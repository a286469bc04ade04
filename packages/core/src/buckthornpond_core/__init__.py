"""Decisions, messages and settings of buckthornpond.

Nothing here opens a socket, reads a clock or encodes a message.
"""

from collections.abc import Mapping
from importlib import import_module
from types import MappingProxyType
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .admission.admission import AdmissionController as AdmissionController
    from .admission.queueing import AdmissionOrder as AdmissionOrder
    from .configuration.documents import Configuration as Configuration
    from .event_codes import EventCode as EventCode
    from .exceptions import BuckthornpondError as BuckthornpondError
    from .exceptions import InvalidDocumentError as InvalidDocumentError
    from .exceptions import MalformedMessageError as MalformedMessageError
    from .exceptions import PlatformError as PlatformError
    from .exceptions import TargetError as TargetError
    from .exceptions import TransportError as TransportError
    from .process_limits import AgentLimits as AgentLimits
    from .process_limits import RouterLimits as RouterLimits
    from .refusals import REFUSALS as REFUSALS
    from .refusals import find_refusal as find_refusal
    from .routing.placement import Placement as Placement
    from .routing.router import Router as Router
    from .types import Clock as Clock
    from .types import RandomSource as RandomSource
    from .types import Recorder as Recorder

# Loaded on first use, so that a process imports only what it needs.
_MODULES: Mapping[str, str] = MappingProxyType(
    {
        'AdmissionController': '.admission.admission',
        'AgentLimits': '.process_limits',
        'RouterLimits': '.process_limits',
        'Configuration': '.configuration.documents',
        'BuckthornpondError': '.exceptions',
        'InvalidDocumentError': '.exceptions',
        'MalformedMessageError': '.exceptions',
        'PlatformError': '.exceptions',
        'TargetError': '.exceptions',
        'TransportError': '.exceptions',
        'EventCode': '.event_codes',
        'Placement': '.routing.placement',
        'AdmissionOrder': '.admission.queueing',
        'REFUSALS': '.refusals',
        'find_refusal': '.refusals',
        'Router': '.routing.router',
        'Clock': '.types',
        'RandomSource': '.types',
        'Recorder': '.types',
    }
)


def __getattr__(name: str) -> Any:
    """Import a public name from its module."""
    if name not in _MODULES:
        raise AttributeError(name)
    return getattr(import_module(_MODULES[name], __name__), name)
