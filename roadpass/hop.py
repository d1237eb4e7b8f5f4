"""Headers that are meant for one connection only, and end there."""

from collections.abc import Collection

from roadpass.outcome import Headers

HOP_BY_HOP = frozenset(
    ("connection", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade")
)
"""Such headers, in lower case; so are all that begin with `proxy-`."""


def connection_tokens(headers: Headers) -> set[str]:
    """Return what the `Connection` headers list, in lower case."""
    return {
        token.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for token in value.split(",")
    }


def end_to_end(headers: Headers, dropped: Collection[str] = ()) -> Headers:
    """Return the headers that go on to the next connection.

    Args:
        headers: As they came.
        dropped: Names, in lower case, of further headers that end here.
    """
    ending = HOP_BY_HOP.union(connection_tokens(headers) - {"host"}, dropped)
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in ending and not name.lower().startswith("proxy-")
    ]
