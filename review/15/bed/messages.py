"""HTTP/1.1 messages of the stand-ins."""

import asyncio


class Message:
    """Head and body of a request or an answer.

    :param first_line: the request line or the status line.
    :param fields: header fields, names in lower case.
    :param body: the whole body.
    """

    def __init__(
        self, first_line: str, fields: dict[str, str], body: bytes
    ) -> None:
        self.first_line = first_line
        self.fields = fields
        self.body = body


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message, ``None`` at the end of the connection.

    :param reader: the connection.
    """
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    fields: dict[str, str] = {}
    for line in lines[1:]:
        name, colon, text = line.partition(':')
        if colon:
            fields[name.strip().lower()] = text.strip()
    body = b''
    try:
        if fields.get('transfer-encoding', '').lower() == 'chunked':
            body = await _read_chunks(reader)
        elif 'content-length' in fields:
            body = await reader.readexactly(int(fields['content-length']))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return Message(lines[0], fields, body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b''
    while True:
        line = await reader.readuntil(b'\r\n')
        size = int(line.strip().split(b';')[0], 16)
        body += await reader.readexactly(size)
        await reader.readuntil(b'\r\n')
        if not size:
            return body


def render(first_line: str, fields: dict[str, str], body: bytes = b'') -> bytes:
    """Return the bytes of a message with a length.

    :param first_line: the request line or the status line.
    :param fields: header fields.
    :param body: the whole body.
    """
    lines = [first_line, *(f'{name}: {text}' for name, text in fields.items())]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body
