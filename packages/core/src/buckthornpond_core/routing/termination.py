"""Termination of requests, with a refusal that states the outcome."""

from .._generated.messages import Cancel, Refused
from ..effects import RouterEffect, SendToCaller, SendToPeer
from ..types import Recorder
from .held_requests import HeldRequest, HeldRequests

_RETRY_AFTER_MS = 1000


class RequestTerminator:
    """Refuses requests to callers and cancels their attempts at agents.

    :param requests: requests in flight.
    :param recorder: counters of refusals.
    """

    __slots__ = ('_recorder', '_requests')

    def __init__(self, requests: HeldRequests, recorder: Recorder) -> None:
        self._requests = requests
        self._recorder = recorder

    def refuse(self, request: HeldRequest, reason: str) -> SendToCaller:
        """Return the refusal to send to a request's caller.

        :param request: the request, already held or not.
        :param reason: stable code of the refusal.
        """
        self._recorder.count('refusals', reason)
        refused = Refused(
            attempt_id=request.attempt_id,
            reason=reason,
            outcome=request.outcome,
            retry_after_ms=_RETRY_AFTER_MS,
        )
        return SendToCaller(request.submission.request_number, refused)

    def fail(self, request: HeldRequest, reason: str) -> list[RouterEffect]:
        """Refuse a held request, cancel its attempt and remove it.

        :param request: the request.
        :param reason: stable code of the refusal.
        """
        refusal = self.refuse(request, reason)
        return [refusal, *self.drop(request, reason)]

    def drop(self, request: HeldRequest, reason: str) -> list[RouterEffect]:
        """Remove a request and cancel its attempt, without a refusal.

        :param request: the request.
        :param reason: code that the agent gets with the cancellation.
        """
        effects: list[RouterEffect] = []
        if request.attempt_id:
            cancel = Cancel(attempt_id=request.attempt_id, reason=reason)
            effects.append(SendToPeer(request.instance, cancel))
        self._requests.remove(request)
        return effects
