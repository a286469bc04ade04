"""Checks of the response messages that agents send."""

from .._generated.messages import Chunk, Final, Started
from ..effects import RouterEffect, SendToCaller
from ..types import Recorder
from .held_requests import HeldRequest, HeldRequests
from .termination import RequestTerminator


class ResponseChecks:
    """Forwards response messages that arrive complete and in order.

    :param requests: requests in flight.
    :param terminator: ends requests whose response has a gap.
    :param recorder: counters of completed requests and late messages.
    """

    __slots__ = ('_terminator', '_recorder', '_requests')

    def __init__(
        self,
        requests: HeldRequests,
        terminator: RequestTerminator,
        recorder: Recorder,
    ) -> None:
        self._requests = requests
        self._terminator = terminator
        self._recorder = recorder

    def handle_message(
        self,
        instance: str,
        message: Started | Chunk | Final,
    ) -> list[RouterEffect]:
        """Forward a response message to its caller, or fail the request.

        :param instance: instance of the agent that sent the message.
        :param message: start, chunk or end of the response.
        """
        request = self._requests.find(instance, message.attempt_id)
        if request is None:
            self._recorder.count('late_messages', type(message).__name__)
            return []
        if not _is_in_sequence(request, message):
            return self._terminator.fail(request, 'chunk_lost')
        self._advance(request, message)
        return [SendToCaller(request.submission.request_number, message)]

    def _advance(
        self,
        request: HeldRequest,
        message: Started | Chunk | Final,
    ) -> None:
        if isinstance(message, Started):
            request.is_response_started = True
            # A started response is never retried: the body can be freed.
            request.submission.body = b''
        elif isinstance(message, Chunk):
            request.next_sequence += 1
        else:
            self._requests.remove(request)
            self._recorder.count('requests', 'completed')


def _is_in_sequence(
    request: HeldRequest, message: Started | Chunk | Final
) -> bool:
    if isinstance(message, Started):
        return True
    if not request.is_response_started:
        return False
    if isinstance(message, Chunk):
        return message.sequence_number == request.next_sequence
    return message.chunk_count == request.next_sequence
