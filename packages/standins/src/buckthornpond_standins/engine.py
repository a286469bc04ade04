"""Stand-in of a model engine.

The engine simulates continuous batching. Each step generates one token for
every decoding stream and divides the prefill tokens of the step among the
others, by priority. When several streams exceed the KV cache, the engine
crashes and fails all of them, as a real engine does.
"""

import itertools
from collections.abc import Iterator
from typing import Any

import gevent
import msgspec
from gevent.event import Event

from .orders import OrderLog
from .servers import Environ, StartResponse, read_body, reply


class EngineCosts:
    """Speed and memory limits of an engine.

    :param prefill_tokens_per_second: prefill speed once it is warm.
    :param step_seconds: duration of one decode step.
    :param memory_tokens: size of the KV cache.
    :param cold_tokens: most tokens that the engine holds before it is warm.
    :param warm_up_tokens: completed tokens after which it is warm.
    :param cold_prefill_fraction: fraction of the prefill speed before it is warm.
    :param time_scale: factor on all times.
    """

    __slots__ = (
        'cold_prefill_fraction',
        'cold_tokens',
        'memory_tokens',
        'prefill_tokens_per_second',
        'step_seconds',
        'time_scale',
        'warm_up_tokens',
    )

    def __init__(
        self,
        *,
        prefill_tokens_per_second: float = 50_000,
        step_seconds: float = 0.02,
        memory_tokens: int = 600_000,
        cold_tokens: int = 60_000,
        warm_up_tokens: int = 200_000,
        cold_prefill_fraction: float = 0.25,
        time_scale: float = 1.0,
    ) -> None:
        self.prefill_tokens_per_second = prefill_tokens_per_second
        self.step_seconds = step_seconds
        self.memory_tokens = memory_tokens
        self.cold_tokens = cold_tokens
        self.warm_up_tokens = warm_up_tokens
        self.cold_prefill_fraction = cold_prefill_fraction
        self.time_scale = time_scale


class _Stream:
    """One request in the batch."""

    __slots__ = (
        'identifier',
        'is_cancelled',
        'output_tokens',
        'priority',
        'generated_count',
        'progressed',
        'prompt_tokens',
        'remaining_prefill_tokens',
    )

    def __init__(
        self,
        identifier: int,
        prompt_tokens: int,
        output_tokens: int,
        priority: int,
    ) -> None:
        self.identifier = identifier
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.priority = priority
        self.remaining_prefill_tokens: float = prompt_tokens
        self.generated_count = 0
        self.is_cancelled = False
        self.progressed = Event()

    @property
    def held_tokens(self) -> int:
        """Return the tokens of the stream in the KV cache."""
        filled = self.prompt_tokens - int(self.remaining_prefill_tokens)
        return filled + self.generated_count


class EngineStandIn:
    """HTTP application of the engine.

    :param costs: speed and memory limits.
    :param incarnation: identifier of this start of the engine.
    :param checks_fencing: whether orders with a stale fencing number
        are refused.
    :param padding_bytes: padding of each event, to fill buffers sooner.
    """

    __slots__ = (
        '_costs',
        '_identifiers',
        '_incarnation',
        '_orders',
        '_padding',
        '_streams',
        '_wakeup',
        'completed_count',
        'completed_tokens',
        'crash_count',
        'executed_count',
        'peak_tokens',
    )

    def __init__(
        self,
        costs: EngineCosts,
        incarnation: str,
        *,
        checks_fencing: bool = True,
        padding_bytes: int = 0,
    ) -> None:
        self._costs = costs
        self._orders = OrderLog(is_checking=checks_fencing)
        self._incarnation = incarnation
        # JSON parsers ignore white space after a value.
        self._padding = b' ' * padding_bytes
        self._identifiers = itertools.count(1)
        self._streams: dict[int, _Stream] = {}
        self._wakeup = Event()
        self.completed_count = 0
        self.completed_tokens = 0
        self.crash_count = 0
        self.executed_count = 0
        self.peak_tokens = 0

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Any:
        """Serve one request."""
        path = environ['PATH_INFO']
        if path in {'/v1/completions', '/v1/chat/completions'}:
            return self._serve_completion(environ, start_response)
        if path == '/v1/orders':
            return self._orders.serve(environ, start_response)
        if path == '/load':
            return reply(start_response, '200 OK', self._render_load())
        if path == '/reset':
            self.completed_tokens = 0
            return reply(start_response, '200 OK', b'{}')
        return reply(start_response, '404 Not Found', b'{}')

    @property
    def held_tokens(self) -> int:
        """Return the tokens of all streams in the KV cache."""
        return sum(stream.held_tokens for stream in self._streams.values())

    @property
    def is_warm(self) -> bool:
        """Return whether the engine can use its whole memory."""
        return self.completed_tokens >= self._costs.warm_up_tokens

    def run(self) -> None:
        """Run steps until the process ends, and wait while idle."""
        while True:
            if not self._streams:
                self._wakeup.clear()
                self._wakeup.wait()
            gevent.sleep(self._costs.step_seconds * self._costs.time_scale)
            self._step()

    def _render_load(self) -> bytes:
        return msgspec.json.encode(
            {
                'running_count': len(self._streams),
                'held_tokens': self.held_tokens,
                'incarnation': self._incarnation,
                'executed_count': self.executed_count,
                'completed_count': self.completed_count,
                'crash_count': self.crash_count,
                'peak_tokens': self.peak_tokens,
                'is_warm': self.is_warm,
            },
        )

    def _step(self) -> None:
        costs = self._costs
        prefill_budget = costs.prefill_tokens_per_second * costs.step_seconds
        if not self.is_warm:
            prefill_budget *= costs.cold_prefill_fraction
        ordered_streams = sorted(
            self._streams.values(),
            key=lambda stream: (stream.priority, stream.identifier),
        )
        for stream in ordered_streams:
            if stream.remaining_prefill_tokens > 0:
                prefilled = min(prefill_budget, stream.remaining_prefill_tokens)
                stream.remaining_prefill_tokens -= prefilled
                prefill_budget -= prefilled
            else:
                stream.generated_count += 1
                stream.progressed.set()
        self.peak_tokens = max(self.peak_tokens, self.held_tokens)
        token_limit = costs.memory_tokens if self.is_warm else costs.cold_tokens
        if self.held_tokens > token_limit and len(self._streams) > 1:
            self._crash()

    def _crash(self) -> None:
        self.crash_count += 1
        self.completed_tokens = 0
        for stream in self._streams.values():
            stream.is_cancelled = True
            stream.progressed.set()

    def _serve_completion(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Any:
        request = msgspec.json.decode(read_body(environ))
        prompt = request.get('prompt') or str(request.get('messages', ''))
        prompt_tokens = max(1, -(-len(prompt) // 4))
        stream = _Stream(
            next(self._identifiers),
            prompt_tokens,
            int(request.get('max_tokens', 16)),
            int(request.get('priority', 0)),
        )
        self.executed_count += 1
        self._streams[stream.identifier] = stream
        self._wakeup.set()
        if request.get('stream'):
            headers = [('Content-Type', 'text/event-stream')]
            start_response('200 OK', headers)
            return self._stream_events(stream)
        words = [word for _, word in self._generate_words(stream)]
        if len(words) < stream.output_tokens:
            return reply(start_response, '500 Engine Failed', b'{}')
        text = ''.join(words)
        body = msgspec.json.encode({'choices': [{'text': text}]})
        return reply(start_response, '200 OK', body)

    def _stream_events(self, stream: _Stream) -> Iterator[bytes]:
        count = 0
        for number, word in self._generate_words(stream):
            count = number + 1
            event = msgspec.json.encode({'choices': [{'text': word}]})
            yield b'data: %b%b\n\n' % (event, self._padding)
        if count == stream.output_tokens:
            yield b'data: [DONE]\n\n'

    def _generate_words(self, stream: _Stream) -> Iterator[tuple[int, str]]:
        sent_count = 0
        try:
            while sent_count < stream.output_tokens:
                stream.progressed.wait()
                stream.progressed.clear()
                if stream.is_cancelled:
                    return
                while sent_count < min(
                    stream.generated_count,
                    stream.output_tokens,
                ):
                    yield sent_count, f'w{sent_count} '
                    sent_count += 1
            self.completed_count += 1
            self.completed_tokens += stream.prompt_tokens + sent_count
        finally:
            self._streams.pop(stream.identifier, None)
