"""Draws detection times as an SVG bar chart, without a plotting library."""

import math
from collections.abc import Mapping
from pathlib import Path
from typing import Any

WIDTH_PX = 760
ROW_HEIGHT_PX = 18
BARS_LEFT_PX = 300
PX_PER_DECADE = 100.0
COLOURS = {"roadpass": "#2b6cb0", "naive": "#c05621"}


def write_detection(path: str, results: Mapping[tuple[str, str, str], Any]) -> None:
    """Write a chart of the p99 detection times, on a logarithmic axis that begins at 0.1 s."""
    lines = []
    y = 20
    for (service, row, policy), result in results.items():
        length = PX_PER_DECADE * max(0.0, math.log10(max(0.1, result.p99_s)) + 1.0)
        label = f"{service}, {row}, {policy}: {result.p99_s:.2f} s"
        lines.append(f'<text x="4" y="{y + 12}" font-size="11">{label}</text>')
        lines.append(
            f'<rect x="{BARS_LEFT_PX}" y="{y}" width="{length:.0f}" height="{ROW_HEIGHT_PX - 4}" '
            f'fill="{COLOURS[policy]}"/>'
        )
        y += ROW_HEIGHT_PX
    body = "\n".join(lines)
    head = f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH_PX}" height="{y + 20}">'
    Path(path).write_text(f"{head}\n{body}\n</svg>\n")
