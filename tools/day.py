"""Makes a whole day of a site out of its traffic and a file with planned work and faults.

`python -m tools.day SITE DAY [--seed N]` writes the day to standard output.
"""

import argparse
import json
import sys
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

LIGHT_WALL = 3.3
"""How much longer than its traffic a day may take to play, in the site files' own measure."""


def main(arguments: list[str] | None = None) -> int:
    """Write one day; returns 2 for files that cannot be read or make no day."""
    parser = argparse.ArgumentParser(prog="python -m tools.day", description=__doc__)
    parser.add_argument("site", type=Path, help="site file whose first day gives the traffic")
    parser.add_argument("day", type=Path, help="file with `plan` and `faults`")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    try:
        site, part = _read(options.site), _read(options.day)
        print(compose(options.day.stem, options.seed, site, part), end="")
    except (OSError, tomllib.TOMLDecodeError, KeyError, IndexError) as error:
        print(f"No day can be made: {error!r}.", file=sys.stderr)
        return 2
    return 0


def compose(name: str, seed: int, site: Mapping[str, Any], part: Mapping[str, Any]) -> str:
    """Return a day as TOML.

    Args:
        name: Of the day.
        seed: Of its luck.
        site: Content of a site file.
        part: The day's `plan` and `faults`.

    Raises:
        KeyError: A part is missing.
        IndexError: The site has no day.
    """
    day = {
        "name": name,
        "slot": "trouble",
        "seed": seed,
        "one": 1.0,
        "zero": 0.0,
        "goal": {"floor": 0.0},
        "labels": [],
        "wall": LIGHT_WALL,
        "light": True,
        "plan": part["plan"],
        "faults": part["faults"],
        "traffic": site["day"][0]["traffic"],
    }
    rows = (f"{key} = {_written(value)}" for key, value in day.items())
    return "[[day]]\n" + "\n".join(rows) + "\n"


def _read(path: Path) -> dict[str, Any]:
    with path.open("rb") as file:
        return tomllib.load(file)


def _written(value: Any) -> str:
    """Return a value in TOML: JSON writes all but tables the same way."""
    match value:
        case dict():
            return "{ " + ", ".join(f"{key} = {_written(v)}" for key, v in value.items()) + " }"
        case list():
            return "[" + ", ".join(_written(one) for one in value) + "]"
        case _:
            return json.dumps(value)


if __name__ == "__main__":
    sys.exit(main())
