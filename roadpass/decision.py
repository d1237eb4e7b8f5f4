"""Structured decision logs: what a component decided, for which request, and from which inputs."""

import functools
import logging

from roadpass.log import PREFIX


def decided(part: str, what: str, *, request: str = "", **inputs: object) -> None:
    """Log a decision as one structured line, at level info.

    It costs next to nothing while the level is disabled. The keys `at`, `mono`, `level`, `part`,
    `what` and `request` belong to the line itself: an input with such a name is not logged.

    Args:
        part: The component that decided; the logger is `roadpass.<part>`.
        what: The decision, in a few words.
        request: Id of the request concerned, empty for none.
        inputs: What the decision was based on; `None` is left out. The age or revision of
            information about other nodes is named `..._age_s` or `revision`.
    """
    logger = _logger(part)
    if logger.isEnabledFor(logging.INFO):
        logger.info("%s", what, extra={"decision": {**inputs, "request": request}})


@functools.cache
def _logger(part: str) -> logging.Logger:
    return logging.getLogger(PREFIX + part)
