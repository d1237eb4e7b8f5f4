"""Hop-by-hop headers, which apply to a single connection and are not forwarded."""

from collections.abc import Collection

from roadpass.outcome import Headers

HOP_BY_HOP = frozenset(
    ("connection", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade")
)
"""Hop-by-hop header names in lower case; names that begin with `proxy-` are treated alike."""


def connection_tokens(headers: Headers) -> set[str]:
    """Return the tokens listed in the `Connection` headers, in lower case."""
    return {
        token.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for token in value.split(",")
    }


def end_to_end(headers: Headers, dropped: Collection[str] = ()) -> Headers:
    """Return the headers to forward on the next connection.

    Args:
        headers: Headers as received.
        dropped: Names, in lower case, of further headers not to forward.
    """
    ending = HOP_BY_HOP.union(connection_tokens(headers) - {"host"}, dropped)
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in ending and not name.lower().startswith("proxy-")
    ]
