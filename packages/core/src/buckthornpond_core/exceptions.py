"""Exception hierarchy of the project."""


class BuckthornpondError(Exception):
    """Base class of the errors that the project raises.

    :param message: human-readable description.
    :param step: operation that failed, such as ``read settings``.
    :param peer: file, address or instance that it involved.
    """

    exit_code = 1

    def __init__(self, message: str, *, step: str, peer: str) -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        """Return the message with its step and peer."""
        return f'{self.step}: {self.peer}: {self.message}'

    def format_for_terminal(self) -> str:
        """Return the text for a terminal."""
        return f'Error: {self}'


class InvalidDocumentError(BuckthornpondError):
    """A settings file or an operators' document is invalid.

    :param problems: one line for each fault.
    """

    exit_code = 2

    def __init__(self, problems: list[str], *, step: str, peer: str) -> None:
        super().__init__('; '.join(problems), step=step, peer=peer)
        self.problems = problems

    def format_for_terminal(self) -> str:
        """Return one line for each fault."""
        lines = [f'Error: {self.step}: {self.peer}']
        lines.extend(f'  {problem}' for problem in self.problems)
        return '\n'.join(lines)


class TransportError(BuckthornpondError):
    """A socket cannot be used."""

    exit_code = 3


class StopError(BuckthornpondError):
    """Tasks that were cancelled have not ended in time."""


class MalformedMessageError(BuckthornpondError):
    """A peer sent bytes that do not decode to a known message."""


class TargetError(BuckthornpondError):
    """A call to a target failed.

    :param is_sent: whether the target may have received any byte of it.
    :param exceeds_limit: whether the target sent more than a limit allows.
    :param is_connection_lost: whether an open connection closed or broke.
    :param is_silent: whether the target neither answered nor closed in time.
    """

    def __init__(
        self,
        message: str,
        *,
        step: str,
        peer: str,
        is_sent: bool,
        exceeds_limit: bool = False,
        is_connection_lost: bool = False,
        is_silent: bool = False,
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.is_sent = is_sent
        self.exceeds_limit = exceeds_limit
        self.is_connection_lost = is_connection_lost
        self.is_silent = is_silent


class ReservationError(TargetError):
    """A target reserved no memory for a request, so it was not sent.

    :param target: name of the target.
    :param is_refused: whether the target answered that its memory is full.
    """

    def __init__(
        self,
        message: str,
        *,
        step: str,
        peer: str,
        target: str,
        is_refused: bool,
    ) -> None:
        super().__init__(message, step=step, peer=peer, is_sent=False)
        self.target = target
        self.is_refused = is_refused


class PlatformError(BuckthornpondError):
    """A read of the configuration service or the instance list failed."""


class InvalidRequestError(BuckthornpondError):
    """A caller's request is invalid.

    :param reason: stable code of the refusal.
    """

    def __init__(
        self,
        reason: str,
        message: str,
        *,
        step: str,
        peer: str,
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.reason = reason
