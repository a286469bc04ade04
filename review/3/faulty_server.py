"""Server that spoils one answer in twenty while it is told to.

Standard input switches that with the lines ``on`` and ``off``. A spoiled
answer has no length and ends with its connection. Behind it the server goes on
with heads of further responses that do not end, mostly written byte by byte,
until the caller closes.
"""

import itertools
import socket
import sys
import threading
import time

NAME = sys.argv[1]
# Bytes of the further head that come at once, and those that follow singly.
BURST_BYTES = 6400
SINGLE_BYTES = 1760
PAUSE_S = 0.0004
# One answer in so many is spoiled.
SPOILED_EACH = 20
FIELD = b'a:\r\n'

is_faulty = threading.Event()
answer_numbers = itertools.count(1)


def log(text):
    """Tell the case what happened."""
    print(text, flush=True)


def serve(connection):
    """Answer the requests of one connection."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    pending = b''
    while True:
        while b'\r\n\r\n' not in pending:
            received = connection.recv(65536)
            if not received:
                return
            pending += received
        head, _, pending = pending.partition(b'\r\n\r\n')
        fields = {}
        for line in head.decode('latin-1').split('\r\n')[1:]:
            name, _, text = line.partition(':')
            fields[name.lower()] = text.strip()
        size = int(fields.get('content-length', 0))
        while len(pending) < size:
            pending += connection.recv(65536)
        pending = pending[size:]
        attempt_id = fields.get('x-attempt-id', '')
        log(f'runs {attempt_id}')
        if is_faulty.is_set() and next(answer_numbers) % SPOILED_EACH == 0:
            spoil(connection, attempt_id)
            return
        body = f'answer to {attempt_id}'.encode()
        connection.sendall(
            f'HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt_id}\r\n'
            f'X-Server-Signature: s.{NAME}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'.encode() + body
        )


def spoil(connection, attempt_id):
    """Send a whole answer without a length, and bytes that do not end."""
    log(f'spoils {attempt_id}')
    sent = 0
    try:
        connection.sendall(
            f'HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt_id}\r\n'
            f'X-Server-Signature: s.{NAME}\r\n\r\n'
            f'answer to {attempt_id}\n'.encode()
        )
        while True:
            burst = b'HTTP/1.1 200 OK\r\n' + FIELD * (
                BURST_BYTES // len(FIELD)
            )
            connection.sendall(burst)
            sent += len(burst)
            for number in range(SINGLE_BYTES):
                place = number % len(FIELD)
                connection.sendall(FIELD[place : place + 1])
                sent += 1
                time.sleep(PAUSE_S)
    except OSError as error:
        log(f'caller closed after {sent} bytes: {error}')
    connection.close()


def accept(listener):
    """Accept connections."""
    while True:
        connection, _ = listener.accept()
        threading.Thread(
            target=serve, args=(connection,), daemon=True
        ).start()


listener = socket.socket()
listener.bind(('127.0.0.1', 0))
listener.listen(64)
print(f'127.0.0.1:{listener.getsockname()[1]}', flush=True)
threading.Thread(target=accept, args=(listener,), daemon=True).start()
for line in sys.stdin:
    if line.strip() == 'on':
        is_faulty.set()
    else:
        is_faulty.clear()
