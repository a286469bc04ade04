"""Decisions, messages and settings of buckthornpond.

Nothing here opens a socket, reads a clock or encodes a message.
"""

from .admission import Admission as Admission
from .bounds import AgentLimits as AgentLimits
from .bounds import RouterLimits as RouterLimits
from .configuration import Configuration as Configuration
from .exceptions import BuckthornpondError as BuckthornpondError
from .exceptions import InvalidDocumentError as InvalidDocumentError
from .exceptions import MalformedMessageError as MalformedMessageError
from .exceptions import PlatformError as PlatformError
from .exceptions import TargetError as TargetError
from .exceptions import TransportError as TransportError
from .journal import EventCode as EventCode
from .placement import Placement as Placement
from .queueing import AdmissionOrder as AdmissionOrder
from .refusals import REFUSALS as REFUSALS
from .refusals import find_refusal as find_refusal
from .routing import Router as Router
from .types import Clock as Clock
from .types import RandomSource as RandomSource
from .types import Recorder as Recorder
