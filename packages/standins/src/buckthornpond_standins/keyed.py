"""Keyed attempts of an agent for benches and tests."""

from datetime import UTC, datetime, timedelta

from buckthornpond_core.configuration.documents import Configuration
from buckthornpond_core.keys.fencing_home import FencingKeyHome, KeyLimits
from buckthornpond_core.keys.key_clock import KeyClock
from buckthornpond_core.keys.keyed_attempts import KeyedAttempts
from buckthornpond_core.types import Recorder

_WALL_START = datetime.fromtimestamp(0, UTC)
_FENCE_TIMEOUT = timedelta(seconds=1)


def build_keyed_attempts(
    instance: str,
    configuration: Configuration,
    *,
    started: timedelta,
    recorder: Recorder,
) -> KeyedAttempts:
    """Return keyed attempts whose home stores no responses.

    :param instance: name of the instance, also used as its incarnation.
    :param configuration: configuration in force.
    :param started: start of the agent on the monotonic clock.
    :param recorder: recorder of the counters.
    """
    home = FencingKeyHome(
        instance=instance,
        configuration=configuration,
        key_clock=KeyClock(started, _WALL_START),
        limits=KeyLimits(
            fence_timeout=_FENCE_TIMEOUT,
            max_replay_bytes=0,
            replay_budget_bytes=0,
        ),
    )
    return KeyedAttempts(
        incarnation=instance,
        configuration=configuration,
        home=home,
        max_replay_bytes=0,
        recorder=recorder,
    )
