"""Entry that calls targets directly, without an agent beside each target.

A :class:`~.callers.CallerTask` owns the connection of a caller, an
:class:`~.attempts.AttemptTask` the connection to a target, and the
:class:`~.dispatch.DispatchTask` the state of the fleet. The tasks exchange
messages through mailboxes.
"""

from .entry_process import DirectEntry as DirectEntry
