"""Stable codes of refusals, with the HTTP status of each."""

from collections.abc import Mapping
from types import MappingProxyType


class RefusalKind:
    """HTTP response that a caller gets for a refusal.

    :param status_code: HTTP status.
    :param title: short human-readable text.
    :param may_retry: whether the same request can succeed later.
    """

    __slots__ = ('may_retry', 'status_code', 'title')

    def __init__(
        self,
        status_code: int,
        title: str,
        *,
        may_retry: bool = False,
    ) -> None:
        self.status_code = status_code
        self.title = title
        self.may_retry = may_retry


_TARGET_FAILED = RefusalKind(502, 'The target failed', may_retry=True)

REFUSALS: Mapping[str, RefusalKind] = MappingProxyType(
    {
        'agent_leaving': RefusalKind(503, 'Instance leaving', may_retry=True),
        'agent_lost': RefusalKind(502, 'Instance lost', may_retry=True),
        'agent_memory_full': RefusalKind(
            503,
            'Instance full',
            may_retry=True,
        ),
        'agent_restarted': RefusalKind(502, 'Instance lost', may_retry=True),
        'agent_stopped': RefusalKind(502, 'Instance stopped', may_retry=True),
        'agent_unreachable': RefusalKind(
            503,
            'No instance reachable',
            may_retry=True,
        ),
        'answer_lost': RefusalKind(502, 'Answer lost'),
        'attempt_fenced': RefusalKind(503, 'Attempt given up', may_retry=True),
        'attempt_repeated': RefusalKind(500, 'Attempt sent twice'),
        'body_budget_full': RefusalKind(503, 'Entry is full', may_retry=True),
        'body_timeout': RefusalKind(408, 'Request body too slow'),
        'body_too_large': RefusalKind(413, 'Request body too large'),
        'body_truncated': RefusalKind(400, 'Request body truncated'),
        'chunk_lost': RefusalKind(502, 'Answer incomplete', may_retry=True),
        'configuration_stale': RefusalKind(
            503,
            'Configuration may be out of date',
            may_retry=True,
        ),
        'credential_unknown': RefusalKind(401, 'Credential unknown'),
        'deadline_exceeded': RefusalKind(504, 'Time limit passed'),
        'entry_failed': RefusalKind(500, 'Entry failed', may_retry=True),
        'entry_full': RefusalKind(503, 'Entry is full', may_retry=True),
        'entry_stopping': RefusalKind(503, 'Entry is stopping', may_retry=True),
        'framing_too_large': RefusalKind(400, 'Chunk framing too large'),
        'head_timeout': RefusalKind(408, 'Request head too slow'),
        'head_too_large': RefusalKind(431, 'Request head too large'),
        'invalid_body': RefusalKind(400, 'Request body invalid'),
        'invalid_request': RefusalKind(400, 'Request invalid'),
        'invalid_header': RefusalKind(400, 'Header field invalid'),
        'home_unreachable': RefusalKind(
            503,
            'Earlier home of the key unreachable',
            may_retry=True,
        ),
        'key_done': RefusalKind(409, 'Already run'),
        'key_expired': RefusalKind(409, 'Key older than the retry window'),
        'key_fenced': RefusalKind(409, 'Key barred by another home'),
        'key_not_yet_valid': RefusalKind(
            409,
            'Key created in the future',
            may_retry=True,
        ),
        'key_reused': RefusalKind(422, 'Key used for another request'),
        'key_running': RefusalKind(409, 'Still running', may_retry=True),
        'key_unknown': RefusalKind(409, 'Outcome unknown'),
        'length_required': RefusalKind(411, 'Content-Length required'),
        'method_not_allowed': RefusalKind(405, 'Method not allowed'),
        'memory_full': RefusalKind(503, 'Memory full', may_retry=True),
        'no_configuration': RefusalKind(
            503,
            'No configuration yet',
            may_retry=True,
        ),
        'no_target': RefusalKind(503, 'No target usable', may_retry=True),
        'prompt_too_large': RefusalKind(413, 'Prompt larger than any engine'),
        'prompt_quarantined': RefusalKind(
            503,
            'Requests with a part of this prompt crash targets',
            may_retry=True,
        ),
        'queue_full': RefusalKind(503, 'Queue full', may_retry=True),
        'request_quarantined': RefusalKind(
            503,
            'This request crashes targets',
            may_retry=True,
        ),
        'response_too_large': RefusalKind(502, 'Answer too large'),
        'retry_budget_exhausted': RefusalKind(503, 'Overload', may_retry=True),
        'route_unknown': RefusalKind(404, 'Route unknown'),
        'service_not_here': RefusalKind(503, 'Service moved', may_retry=True),
        'stale_incarnation': RefusalKind(503, 'Instance lost', may_retry=True),
        'target_cold': RefusalKind(503, 'Instance cold', may_retry=True),
        'target_limited': RefusalKind(
            503, 'Instances at their limit', may_retry=True
        ),
        'target_connect_failed': RefusalKind(
            502,
            'Target unreachable',
            may_retry=True,
        ),
        'target_draining': RefusalKind(
            503, 'Instance draining', may_retry=True
        ),
        'target_failed': _TARGET_FAILED,
        'target_refused': RefusalKind(503, 'Targets full', may_retry=True),
        'unauthorised': RefusalKind(401, 'Credential unknown'),
        'unknown_path': RefusalKind(404, 'Path unknown'),
        'unknown_service': RefusalKind(404, 'Service unknown'),
        'would_miss_deadline': RefusalKind(
            503,
            'Time limit too short for the load',
            may_retry=True,
        ),
        'wrong_home': RefusalKind(503, 'Key moved', may_retry=True),
    }
)


def find_refusal(reason: str) -> RefusalKind:
    """Return the HTTP response of a refusal.

    :param reason: stable code; any unlisted one is a failure of the target.
    """
    return REFUSALS.get(reason, _TARGET_FAILED)
