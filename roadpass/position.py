"""A place in the history of a source."""

from collections.abc import Mapping
from typing import Any, NamedTuple


class Position(NamedTuple):
    """A place in the history of a source; compares by era, then by revision.

    Args:
        era: Rises by one whenever the source is restored from a backup: revisions after the backup
            are given out again, so they say nothing across eras.
        revision: Rises with each change.
    """

    era: int
    revision: int

    @classmethod
    def from_message(cls, message: Mapping[str, Any]) -> "Position":
        """Return the position that a message names; nodes of earlier releases send no era."""
        return cls(message.get("era", 0), message["revision"])

    def to_message(self) -> dict[str, int]:
        """Return the fields of a message, the era only where the source has one."""
        era = {"era": self.era} if self.era else {}
        return {"revision": self.revision, **era}


START = Position(0, 0)
"""Where nothing was read yet."""
