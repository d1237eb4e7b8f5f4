"""Describes one mechanism of the code for `tools.mechanism_off`."""

from typing import NamedTuple


class Mechanism(NamedTuple):
    """A mechanism behind a guarantee, how to disable it, and the test that must fail without it.

    Args:
        name: What it ensures; `--only` selects by it.
        file: File of its code, relative to the root of the repository.
        on: Code of the mechanism, which occurs exactly once in the file.
        off: Code that replaces it to disable the mechanism.
        test: Test that must fail then, as pytest takes it.
    """

    name: str
    file: str
    on: str
    off: str
    test: str
