"""What is said of one mechanism that holds a promise."""

from typing import NamedTuple


class Mechanism(NamedTuple):
    """One mechanism, how to switch it off, and the test that must notice."""

    name: str
    file: str
    on: str
    off: str
    test: str
