"""Positions in the history of a source."""

from collections.abc import Mapping
from typing import Any, NamedTuple


class Position(NamedTuple):
    """A position in the history of a source; compares by era, then by revision.

    Args:
        era: Increases by one whenever the source is restored from a backup. Revisions after the
            backup are then assigned again, so they cannot be compared across eras.
        revision: Increases with each change.
    """

    era: int
    revision: int

    @classmethod
    def from_message(cls, message: Mapping[str, Any]) -> "Position":
        """Return the position in a message; nodes of earlier releases send no era."""
        return cls(message.get("era", 0), message["revision"])

    def to_message(self) -> dict[str, int]:
        """Return the message fields; the era is included only if the source has one."""
        era = {"era": self.era} if self.era else {}
        return {"revision": self.revision, **era}


START = Position(0, 0)
"""The position before the first read."""
