"""Bodies of uploads, and the invariant on what targets get of them."""

from collections.abc import Iterator

from soak.history import Request

BROKEN_OFF = "body broken off"
"""Error of a request whose body the caller did not send to its end."""


def upload_body(request_id: str, length: int) -> bytes:
    """Return the body of an upload; other requests have other bodies of that length."""
    line = f"{request_id};".encode()
    return (line * (length // len(line) + 1))[:length]


def changed_body(request: Request) -> Iterator[str]:
    """Yield an invariant that the body of an upload shows to be violated.

    A target must get all bytes that the caller sent, and must not take a broken body for whole.
    """
    whole = [arrival for arrival in request.arrivals if arrival.body_bytes is not None]
    if request.error == BROKEN_OFF and whole:
        yield "body broken off"
    if any(arrival.body_bytes != request.body_bytes for arrival in whole):
        yield "body"
