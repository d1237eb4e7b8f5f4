"""Property tests give the same verdict at every run; what several tests listen on."""

import socket
from collections.abc import Iterator

import pytest
from hypothesis import settings

settings.register_profile("fixed", derandomize=True, deadline=None, database=None)
settings.load_profile("fixed")


@pytest.fixture
def listener() -> Iterator[socket.socket]:
    """Return a listening socket that the test answers on."""
    with socket.create_server(("127.0.0.1", 0)) as listening:
        yield listening
