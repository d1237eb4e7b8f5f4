"""The head of a caller's request: request line and headers, and the values parsed from them."""

import re
from functools import lru_cache
from typing import NamedTuple

import h11

from roadpass.dialect import Dialect
from roadpass.hop_by_hop import connection_tokens, end_to_end
from roadpass.outcome import Headers, Reason

MAX_IDEMPOTENCY_KEY_CHARS = 128
"""Maximum length of an idempotency key, which sidecars store and nodes send to each other."""
MAX_DEADLINE_DIGITS = 15
"""Maximum digits of a deadline in milliseconds; a longer value is certainly a mistake."""

REPEAT_HEADER = "Roadpass-Repeat"
KEY_HEADER = "Idempotency-Key"

_ABSOLUTE = re.compile(r"https?://(?:[^/?#@]*@)?([^/?#@]*)(.*)", re.IGNORECASE)


class RefusedError(Exception):
    """The request is refused without being dispatched; the connection is closed afterwards.

    Args:
        status: HTTP status of the response.
        reason: Why the request is not dispatched.
    """

    def __init__(self, status: int, reason: Reason) -> None:
        super().__init__(status)
        self.status = status
        self.reason = reason


class Head(NamedTuple):
    """The request line and headers; `read_at` is in clock seconds."""

    method: str
    target: str
    headers: Headers
    is_http_10: bool
    read_at: float

    @classmethod
    def from_event(cls, event: h11.Request, read_at: float) -> "Head":
        """Build a head from the codec's request event."""
        headers = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in event.headers.raw_items()
        ]
        is_http_10 = event.http_version == b"1.0"
        return cls(event.method.decode(), event.target.decode(), headers, is_http_10, read_at)

    @property
    def wants_keep_alive(self) -> bool:
        """Whether the caller wants the connection to stay open after the response."""
        tokens = connection_tokens(self.headers)
        return "close" not in tokens and (not self.is_http_10 or "keep-alive" in tokens)

    @property
    def is_chunked(self) -> bool:
        """Whether the body is sent in chunks, so that its length is known only at its end."""
        return bool(self.header("Transfer-Encoding"))

    @property
    def body_length(self) -> int | None:
        """Bytes of the body, `None` if it is sent in chunks."""
        return None if self.is_chunked else int(self.header("Content-Length") or 0)

    def header(self, name: str) -> str:
        """Return a header, empty if it is missing; repeated ones are joined with commas."""
        wanted = name.lower()
        return ", ".join(value for given, value in self.headers if given.lower() == wanted)

    def host_and_path(self) -> tuple[str, str]:
        """Return the host, and the path with the query; an absolute request target names both.

        Raises:
            RefusedError: The request target has neither form.
        """
        if found := _ABSOLUTE.fullmatch(self.target):
            host, path = found.groups()
            return host, path if path.startswith("/") else f"/{path}"
        if not self.target.startswith("/") and self.target != "*":
            raise RefusedError(400, Reason.BAD_REQUEST)
        return self.header("Host"), self.target

    def deadline(self, name: str) -> float | None:
        """Return the caller's deadline in clock seconds, `None` for none.

        Raises:
            RefusedError: The header is not a number of milliseconds.
        """
        wanted = self.header(name)
        if not any(given.lower() == name.lower() for given, _ in self.headers):
            return None
        if not wanted.isascii() or not wanted.isdigit() or len(wanted) > MAX_DEADLINE_DIGITS:
            raise RefusedError(400, Reason.BAD_REQUEST)
        return self.read_at + int(wanted) / 1000.0

    def key(self) -> str:
        """Return the idempotency key, empty for none.

        Raises:
            RefusedError: The key is too long.
        """
        key = self.header(KEY_HEADER)
        if len(key) > MAX_IDEMPOTENCY_KEY_CHARS:
            raise RefusedError(400, Reason.BAD_REQUEST)
        return key

    @property
    def is_repeat(self) -> bool:
        """Whether the caller declares that it sent this request before."""
        return self.header(REPEAT_HEADER).lower() in ("1", "true")

    def forwarded(
        self, dialect: Dialect, host: str, remote: str, *, drop_authorization: bool = False
    ) -> Headers:
        """Return the headers to forward to a target.

        Args:
            dialect: Header names used with callers.
            host: Host as returned by `host_and_path`.
            remote: IP address of the caller.
            drop_authorization: Whether to withhold the caller's credential from the target.
        """
        dropped = _dropped_names(dialect, drop_authorization=drop_authorization)
        headers = [
            (name, host if name.lower() == "host" else value)
            for name, value in end_to_end(self.headers, dropped)
            if not (dialect.own_prefix and name.lower().startswith(dialect.own_prefix))
        ]
        if dialect.own_prefix:
            headers.append(("X-Forwarded-For", remote))
        return headers


@lru_cache(maxsize=4)
def _dropped_names(dialect: Dialect, *, drop_authorization: bool) -> frozenset[str]:
    """Return the names of caller headers that are not forwarded, in lower case."""
    names = ["Content-Length", "Expect", dialect.deadline, dialect.origin_service]
    names += [dialect.expected_instance, dialect.customer]
    if drop_authorization:
        names.append(dialect.authorization)
    if dialect.caller_sets_id:
        names.append(dialect.request_id)
    return frozenset(name.lower() for name in names)
