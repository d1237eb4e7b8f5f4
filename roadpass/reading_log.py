"""The lines of a source's reader: what it asked for, whom, what came and how long it took."""

import math
from typing import Any

from roadpass import clock
from roadpass.decision import decided
from roadpass.errors import PlatformError, StreamError
from roadpass.news import PeerPosition
from roadpass.position import Position
from roadpass.source import Changes, ConfigPublished

PART = "reader"


def log_read(
    changes: Changes,
    *,
    told_by: str,
    after: Position | None,
    config_held: int | None,
    update_confirmed_at: float,
    confirmed_at: float,
    requested_at: float,
) -> None:
    """Log what was asked for and what came, so that a change that was never told shows.

    Args:
        changes: What came.
        told_by: The peer, empty for the source.
        after: The position held before.
        config_held: The version of the configuration held before.
        update_confirmed_at: Clock seconds as of which the source had nothing newer,
        confirmed_at: the same for what was held before.
        requested_at: Clock seconds at which it was asked.
    """
    configs = [c.config for c in changes.changes if isinstance(c, ConfigPublished)]
    decided(
        PART,
        "reading",
        told_by=told_by or "store",
        **logged(after, "after"),
        **logged(changes.position, "store_revision"),
        changes=len(changes.changes),
        whole=changes.full,
        config=configs[-1].version if configs else None,
        config_held=config_held,
        news_age_s=_age_s(update_confirmed_at),
        confirmed_age_s=_age_s(confirmed_at),
        took_s=_age_s(requested_at),
    )


def log_source_failed(
    error: PlatformError,
    *,
    failures: int,
    after: Position | None,
    confirmed_at: float,
    requested_at: float,
) -> None:
    """Log a call to the source that failed; arguments as above, `failures` are those in a row."""
    decided(
        PART,
        "store-failed",
        error=str(error),
        failures=failures,
        **logged(after, "after"),
        confirmed_age_s=_age_s(confirmed_at),
        took_s=_age_s(requested_at),
    )


def log_read_superseded(
    result: Changes | PlatformError,
    *,
    asked_after: Position | None,
    after: Position | None,
    requested_at: float,
) -> None:
    """Log what a call brought too late: peers had told more than it could before it was over."""
    decided(
        PART,
        "reading-overtaken",
        error=str(result) if isinstance(result, PlatformError) else None,
        **logged(result.position if isinstance(result, Changes) else None, "store_revision"),
        **logged(asked_after, "asked_after"),
        **logged(after, "after"),
        took_s=_age_s(requested_at),
    )


def log_peer_failed(
    peer: PeerPosition, error: StreamError, *, after: Position | None, requested_at: float
) -> None:
    """Log a question to a peer that it did not answer; arguments as above."""
    decided(
        PART,
        "peer-failed",
        vm=peer.vm,
        **logged(peer.position, "revision"),
        error=str(error),
        **logged(after, "after"),
        word_age_s=_age_s(peer.confirmed_at),
        took_s=_age_s(requested_at),
    )


def log_peer_behind(peer: PeerPosition, *, held: Position) -> None:
    """Log that a peer holds less than this node and takes that for the newest."""
    decided(
        PART,
        "peer-behind",
        vm=peer.vm,
        **logged(peer.position, "revision"),
        **logged(held, "held"),
        word_age_s=_age_s(peer.confirmed_at),
    )


def logged(position: Position | None, name: str) -> dict[str, Any]:
    """Return a position's revision by a name, and its era where the source has one."""
    if position is None:
        return {name: None}
    era = {f"{name}_era": position.era} if position.era else {}
    return {name: position.revision, **era}


def _age_s(at: float) -> float | None:
    """Return how long ago a moment was, `None` if it never came."""
    return None if math.isinf(at) else round(clock.now() - at, 3)
