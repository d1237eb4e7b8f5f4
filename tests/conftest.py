"""Makes property tests deterministic, and provides a listening socket."""

import socket
from collections.abc import Iterator

import pytest
from hypothesis import settings

settings.register_profile("fixed", derandomize=True, deadline=None, database=None)
settings.load_profile("fixed")


@pytest.fixture
def listener() -> Iterator[socket.socket]:
    """Return a listening socket on which the test plays the server."""
    with socket.create_server(("127.0.0.1", 0)) as listening:
        yield listening
