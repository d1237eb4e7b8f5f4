"""Output formats: aligned tables and JSON."""

import json
from collections.abc import Sequence
from typing import Any, TypeAlias

Row: TypeAlias = Sequence[object]


def table(heads: Sequence[str], rows: Sequence[Row]) -> list[str]:
    """Return the lines of a table whose columns are padded to their widest cell."""
    texts = [[str(cell) for cell in row] for row in [heads, *rows]]
    widths = [max(len(row[n]) for row in texts) for n in range(len(heads))]
    lines = ["  ".join(c.ljust(w) for c, w in zip(row, widths, strict=True)) for row in texts]
    return [line.rstrip() for line in lines]


def as_json(value: Any) -> str:
    """Return a value as indented JSON; values of other types become strings."""
    return json.dumps(value, indent=1, default=str)
