"""Steps on prompt parts that crash the engines that answer them."""

import json
from typing import Any

from behave import then, when

from buckthornpond_platform_standins.local_clusters import STREAM_PATH

_LOST_EVENT = 'target_connection_lost'
_TOKEN_COUNT = '430,40'


@when('a caller streams /stream/1 with the prompt parts {parts}')
def stream_parts(context: Any, parts: str) -> None:
    """Send a request that names the parts of its prompt."""
    context.answers.append(
        context.cluster.connect().fetch(
            'POST',
            STREAM_PATH,
            X_Token_Count=_TOKEN_COUNT,
            X_Prefix_Hash=parts,
        )
    )


@then(
    '{count:d} lost connections are logged with the shared parts'
    ' {first:w} and {second:w}'
)
def check_logged(context: Any, count: int, first: str, second: str) -> None:
    """Compare the logged parts with those of the request."""
    events = map(json.loads, b''.join(context.log_lines).splitlines())
    context.lost = [
        event for event in events if event.get('event') == _LOST_EVENT
    ]
    assert len(context.lost) == count, context.lost
    for event in context.lost:
        assert event['shared_parts'] == [first, second], event
        assert event['in_flight_count'] == 1, event


@then('the first one had no head, the second one had events')
def check_progress(context: Any) -> None:
    """Compare how far the answers had come."""
    first, second = context.lost
    assert not first['has_head'], first
    assert not first['event_count'], first
    assert second['has_head'], second
    assert second['event_count'], second


@then('the metric "{name:w}" counts {count:d} under "{label:w}"')
def check_metric(context: Any, name: str, count: int, label: str) -> None:
    """Read a counter of the entry."""
    text = context.cluster.entries[0].metrics.render()
    lines = [
        line
        for line in text.splitlines()
        if line.startswith(f'buckthornpond_{name}_total') and label in line
    ]
    assert [line.rpartition(' ')[2] for line in lines] == [f'{count}'], lines
