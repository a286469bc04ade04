"""Tasks, transports, logs and metrics shared by the processes."""

from .clocks import SystemClock as SystemClock
from .connections import HttpCall as HttpCall
from .logs import log_event as log_event
from .logs import start_logging as start_logging
from .metrics import Metrics as Metrics
from .settings import load_settings as load_settings
from .tasks import Inbox as Inbox
from .tasks import Mailbox as Mailbox
from .tasks import Supervisor as Supervisor
