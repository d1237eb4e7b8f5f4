"""Decision logs: what a part decided, for which request, and on which inputs."""

import functools
import logging

from roadpass.log import PREFIX


def decided(part: str, what: str, *, request: str = "", **inputs: object) -> None:
    """Log a decision as one structured line, at level info.

    It costs next to nothing while the level is off. The keys `at`, `mono`, `level`, `part`, `what`
    and `request` belong to the line itself: an input of such a name is not written.

    Args:
        part: Who decided; the logger is `roadpass.<part>`.
        what: What was decided, in few words.
        request: Id of the request that it was about, if any.
        inputs: What it rested on. Beliefs about others are named `..._age_s` or `revision`; None
            is left out.
    """
    logger = _logger(part)
    if logger.isEnabledFor(logging.INFO):
        logger.info("%s", what, extra={"decision": {**inputs, "request": request}})


@functools.cache
def _logger(part: str) -> logging.Logger:
    return logging.getLogger(PREFIX + part)
