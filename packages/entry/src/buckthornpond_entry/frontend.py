"""HTTP front end for callers."""

from collections.abc import Mapping
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, TypeAlias

import falcon
import msgspec

from buckthornpond_core._generated.events import Submission
from buckthornpond_core._generated.inventory import Organisation, TargetKind
from buckthornpond_core._generated.messages import Outcome, Refused
from buckthornpond_core._generated.settings import EntrySettings
from buckthornpond_core.configuration.documents import Configuration
from buckthornpond_core.effects import ResponseMessage
from buckthornpond_core.event_codes import EventCode
from buckthornpond_core.types import Clock
from buckthornpond_runtime.logs import log_event
from buckthornpond_runtime.metrics import Metrics
from buckthornpond_runtime.tasks import Mailbox

from .listeners import EXCHANGE_ENVIRON_KEY, CallerExchange
from .requests import (
    MemoryBudget,
    RefusedRequestError,
    count_prompt_tokens,
    parse_completion,
    parse_service_path,
    read_body,
    read_content_length,
    read_credential_digest,
    read_idempotency_key,
    read_time_limit,
)
from .responses import CallerTask, is_event_stream, write_problem
from .tasks import CallerSubmission, RouterTask, refuse_locally

Application: TypeAlias = 'falcon.App[falcon.Request, falcon.Response]'

_HTTP_ERROR_REASONS: Mapping[int, str] = MappingProxyType(
    {
        HTTPStatus.NOT_FOUND: 'unknown_path',
        HTTPStatus.METHOD_NOT_ALLOWED: 'method_not_allowed',
    },
)
_MS_PER_SECOND = 1000
_IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'))


class FrontendState:
    """State that all HTTP resources share.

    :param settings: settings of the process.
    :param configuration: the configuration in force.
    :param router: task that places requests.
    :param clock: source of time.
    :param metrics: counters of the process.
    """

    __slots__ = (
        'clock',
        'configuration',
        'is_stopping',
        'memory_budget',
        'metrics',
        'router',
        'settings',
    )

    def __init__(
        self,
        *,
        settings: EntrySettings,
        configuration: Configuration,
        router: RouterTask,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.settings = settings
        self.configuration = configuration
        self.router = router
        self.clock = clock
        self.metrics = metrics
        self.memory_budget = MemoryBudget(settings.body_budget_bytes)
        self.is_stopping = False

    def authorise(self, request: falcon.Request) -> Organisation:
        """Return the organisation of the request's credential.

        :param request: the caller's request.
        :raises RefusedRequestError: when the credential is missing or
            unknown, or the entry is stopping.
        """
        if self.is_stopping:
            raise RefusedRequestError(
                'entry_stopping',
                'this entry is stopping',
                peer=request.remote_addr,
            )
        digest = read_credential_digest(request)
        organisation = self.configuration.find_organisation(digest)
        if organisation is None:
            raise RefusedRequestError(
                'unauthorised',
                'the credential is unknown',
                peer=request.remote_addr,
            )
        return organisation

    def find_time_limit_ms(self, request: falcon.Request, service: str) -> int:
        """Return the time limit of a request in milliseconds.

        :param request: the caller's request.
        :param service: name of the requested service.
        :raises RefusedRequestError: when the service is unknown or the
            time limit is malformed.
        """
        configured = self.configuration.services.get(service)
        if configured is None:
            raise RefusedRequestError(
                'unknown_service',
                f'there is no service {service!r}',
                peer=request.remote_addr,
            )
        return read_time_limit(request, configured.time_limit_ms)

    def compute_deadline_wall_ms(self, time_limit_ms: int) -> int:
        """Return the deadline of a new request in milliseconds since 1970.

        :param time_limit_ms: time limit of the request.
        """
        wall_seconds = self.clock.utcnow().timestamp()
        return int(wall_seconds * _MS_PER_SECOND) + time_limit_ms

    def read_body(self, request: falcon.Request) -> bytes:
        """Reserve memory for the body and return the complete body.

        The reservation covers the body and the window of the response. It is
        released once the response is written or abandoned.

        :param request: the caller's request.
        :raises RefusedRequestError: when the body is too large, slow or
            truncated or has a transfer encoding, or the memory budget is
            spent.
        """
        length_bytes = read_content_length(request, self.settings)
        exchange = get_exchange(request)
        release = self.memory_budget.reserve(
            length_bytes + self.settings.stream_window_bytes,
            request.remote_addr,
        )
        exchange.add_cleanup(release)
        return read_body(
            request,
            length_bytes,
            self.settings.header_timeout_ms,
        )

    def serve_request(
        self,
        submission: Submission,
        request: falcon.Request,
        response: falcon.Response,
    ) -> None:
        """Submit a request to the router task and write its response.

        :param submission: the request to place.
        :param request: the caller's request.
        :param response: the response to fill.
        """
        mailbox: Mailbox[ResponseMessage] = Mailbox()
        exchange = get_exchange(request)
        caller = CallerTask(
            self.router,
            submission,
            mailbox,
            exchange.connection,
            self.clock,
            self.settings.stream_window_bytes,
        )
        exchange.add_cleanup(caller.finish_request)
        exchange.is_served = True
        is_accepted = self.router.mailbox.offer(
            CallerSubmission(submission, mailbox),
        )
        if is_accepted:
            self._write_response(caller, exchange, response)
        else:
            write_problem(response, _refuse(request, 'entry_full'))

    def _write_response(
        self,
        caller: CallerTask,
        exchange: CallerExchange,
        response: falcon.Response,
    ) -> None:
        started_at = self.clock.monotonic()
        head = caller.receive_head()
        if isinstance(head, Refused):
            write_problem(response, head)
            return
        elapsed = self.clock.monotonic() - started_at
        self.metrics.observe('first_answer', 'all', elapsed)
        response.status = head.status_code
        response.content_type = head.content_type
        if is_event_stream(head):
            response.stream = caller.iterate_stream()
            return
        collected = self._collect_body(caller, exchange)
        if isinstance(collected, Refused):
            write_problem(response, collected)
        else:
            response.data = collected

    def _collect_body(
        self,
        caller: CallerTask,
        exchange: CallerExchange,
    ) -> bytes | Refused:
        def reserve_memory(length_bytes: int) -> None:
            peer = str(exchange.connection)
            exchange.add_cleanup(self.memory_budget.reserve(length_bytes, peer))

        try:
            return caller.collect_body(
                self.settings.max_response_bytes, reserve_memory
            )
        except RefusedRequestError as error:
            caller.finish_request()
            refused = refuse_locally(error.reason)
            refused.outcome = Outcome.outcome_unknown
            return refused


class CompletionResource:
    """Endpoint of completions and chat completions of model engines."""

    __slots__ = ('_frontend',)

    def __init__(self, frontend: FrontendState) -> None:
        self._frontend = frontend

    def on_post(
        self,
        request: falcon.Request,
        response: falcon.Response,
    ) -> None:
        """Serve a completion as an event stream or a single response."""
        frontend = self._frontend
        organisation = frontend.authorise(request)
        body = frontend.read_body(request)
        head = parse_completion(body, request.remote_addr)
        time_limit_ms = frontend.find_time_limit_ms(request, head.model)
        submission = Submission(
            request_number=frontend.router.next_request_number(),
            organisation=organisation.name,
            service=head.model,
            method='POST',
            path=request.path,
            content_type='application/json',
            idempotency_key=read_idempotency_key(request),
            is_idempotent=True,
            is_stream=head.stream,
            prompt_tokens=count_prompt_tokens(head),
            output_tokens=head.max_tokens,
            time_limit_ms=time_limit_ms,
            deadline_wall_ms=frontend.compute_deadline_wall_ms(time_limit_ms),
            body=body,
        )
        frontend.serve_request(submission, request, response)


class ModelResource:
    """Endpoint that lists the models of the fleet."""

    __slots__ = ('_frontend',)

    def __init__(self, frontend: FrontendState) -> None:
        self._frontend = frontend

    def on_get(
        self,
        request: falcon.Request,
        response: falcon.Response,
    ) -> None:
        """Return the list in the format that model clients expect."""
        self._frontend.authorise(request)
        names = sorted(
            service.name
            for service in self._frontend.configuration.services.values()
            if service.kind is TargetKind.engine
        )
        rows = [{'id': name, 'object': 'model'} for name in names]
        response.data = msgspec.json.encode({'object': 'list', 'data': rows})


class ServiceSink:
    """Endpoint of plain services, for any method, path and body."""

    __slots__ = ('_frontend',)

    def __init__(self, frontend: FrontendState) -> None:
        self._frontend = frontend

    def __call__(
        self,
        req: falcon.Request,
        resp: falcon.Response,
        **params: str,
    ) -> None:
        """Serve a request to a plain service."""
        frontend = self._frontend
        service = params['service']
        organisation = frontend.authorise(req)
        path = parse_service_path(get_exchange(req).raw_path, req.remote_addr)
        body = frontend.read_body(req)
        time_limit_ms = frontend.find_time_limit_ms(req, service)
        submission = Submission(
            request_number=frontend.router.next_request_number(),
            organisation=organisation.name,
            service=service,
            method=req.method,
            path=path,
            content_type=req.content_type or '',
            idempotency_key=read_idempotency_key(req),
            is_idempotent=req.method in _IDEMPOTENT_METHODS,
            is_stream=False,
            prompt_tokens=0,
            output_tokens=0,
            time_limit_ms=time_limit_ms,
            deadline_wall_ms=frontend.compute_deadline_wall_ms(time_limit_ms),
            body=body,
        )
        frontend.serve_request(submission, req, resp)


def get_exchange(request: falcon.Request) -> CallerExchange:
    """Return the exchange of a request.

    :param request: the caller's request.
    """
    exchange: CallerExchange = request.env[EXCHANGE_ENVIRON_KEY]
    return exchange


def _refuse(request: falcon.Request, reason: str) -> Refused:
    refused = refuse_locally(reason)
    if request.get_header('Idempotency-Key'):
        # An earlier request with this key may have run.
        refused.outcome = Outcome.outcome_unknown
    return refused


def _write_refusal(
    request: falcon.Request,
    response: falcon.Response,
    error: RefusedRequestError,
    params: dict[str, Any],
) -> None:
    write_problem(response, _refuse(request, error.reason), error.message)


def _write_http_error(
    request: falcon.Request,
    response: falcon.Response,
    error: falcon.HTTPError,
    params: dict[str, Any],
) -> None:
    reason = _HTTP_ERROR_REASONS.get(error.status_code, 'invalid_request')
    write_problem(response, _refuse(request, reason), error.title or '')
    allowed = dict(error.headers or {}).get('Allow')
    if allowed:
        response.set_header('Allow', allowed)


def _write_internal_error(
    request: falcon.Request,
    response: falcon.Response,
    error: Exception,
    params: dict[str, Any],
) -> None:
    log_event(EventCode.request_crashed, path=request.path, error=repr(error))
    refused = refuse_locally('entry_failed')
    refused.outcome = Outcome.outcome_unknown
    write_problem(response, refused)


def build_application(frontend: FrontendState) -> Application:
    """Return the WSGI application.

    :param frontend: state that the resources share.
    """
    application: Application = falcon.App()
    application.add_error_handler(Exception, _write_internal_error)
    application.add_error_handler(falcon.HTTPError, _write_http_error)
    application.add_error_handler(RefusedRequestError, _write_refusal)
    completions = CompletionResource(frontend)
    application.add_route('/v1/completions', completions)
    application.add_route('/v1/chat/completions', completions)
    application.add_route('/v1/models', ModelResource(frontend))
    application.add_sink(
        ServiceSink(frontend),
        '^/v1/services/(?P<service>[^/]+)/',
    )
    return application
