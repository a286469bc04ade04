"""Steps on what is read as the head of an answer."""

from typing import Any

from behave import then, when

from buckthornpond_runtime.head_lines import MalformedResponseError
from buckthornpond_runtime.responses import HttpResponse

_SIGNATURE = 'X-Server-Signature: s'
_SIGNED_ANSWER = (
    f'HTTP/1.1 200 X\r\nContent-Length: 2\r\n{_SIGNATURE}\r\n\r\nhi'
)
_PIECE_BYTES = (1, 7, 65_536)


def _render(text: str) -> bytes:
    lines = ['' if each == 'EMPTY' else each for each in text.split(' / ')]
    if not lines[-1]:
        lines.append('')
    rendered = '\r\n'.join(lines)
    for mark, meaning in (
        ('+ signed', _SIGNED_ANSWER),
        (' + ', ''),
        ('SIGNED', _SIGNATURE),
        ('CTL', '\x01'),
    ):
        rendered = rendered.replace(mark, meaning)
    return rendered.replace(f' {_SIGNED_ANSWER}', _SIGNED_ANSWER).encode(
        'latin-1'
    )


def _is_signed(status: int, fields: list[tuple[str, str]]) -> bool:
    return any(name.lower() == 'x-server-signature' for name, _ in fields)


def _read_pieces(content: bytes, size: int) -> tuple[int, bytes]:
    response = HttpResponse('POST', None, _is_signed)
    pieces = [
        content[start : start + size] for start in range(0, len(content), size)
    ]
    for piece in [*pieces, b'']:
        if not response.is_complete:
            response.feed(piece)
    return response.status_code, response.take(len(content))


@when('a server answers with the head "{head}", in pieces of each size')
def read_head(context: Any, head: str) -> None:
    """Read the answer to the end of its connection."""
    context.results = []
    for size in _PIECE_BYTES:
        try:
            context.results.append(_read_pieces(_render(head), size))
        except MalformedResponseError:
            context.results.append(None)


@then('it is read as no answer')
def check_no_answer(context: Any) -> None:
    """Compare the results of all sizes."""
    assert set(context.results) == {None}, context.results


@then('it is read as {status:d} with the body "{body}"')
def check_answer(context: Any, status: int, body: str) -> None:
    """Compare the results of all sizes."""
    assert set(context.results) == {(status, _render(body))}, context.results
