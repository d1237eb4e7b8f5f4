"""Log lines of a source's reader: what it requested, from whom, the result and the duration."""

import math
from typing import Any

from roadpass import clock
from roadpass.decision import decided
from roadpass.errors import PlatformError, StreamError
from roadpass.position import Position
from roadpass.source import Changes, ConfigPublished
from roadpass.source_update import PeerPosition

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
    """Log one update, so that the logs show a change that the source or a peer left out.

    Args:
        changes: The update.
        told_by: The peer that sent it, empty for the source.
        after: This node's position before the update.
        config_held: Version of this node's configuration before the update.
        update_confirmed_at: Clock seconds at which the source had nothing newer than the update.
        confirmed_at: The same for the state before the update.
        requested_at: Clock seconds at which the update was requested.
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
    """Log a failed call; arguments as for `log_read`, `failures` counts consecutive failures."""
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
    """Log the result of a call that is not used, as peers sent more while it was in flight."""
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
    """Log a request that a peer did not answer; arguments as for `log_read`."""
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
    """Log that a peer is behind this node although it considers itself up to date."""
    decided(
        PART,
        "peer-behind",
        vm=peer.vm,
        **logged(peer.position, "revision"),
        **logged(held, "held"),
        word_age_s=_age_s(peer.confirmed_at),
    )


def logged(position: Position | None, name: str) -> dict[str, Any]:
    """Return log fields for a position: its revision and, if the source has one, its era."""
    if position is None:
        return {name: None}
    era = {f"{name}_era": position.era} if position.era else {}
    return {name: position.revision, **era}


def _age_s(at: float) -> float | None:
    """Return the seconds since a time, `None` if it is infinite: the event never happened."""
    return None if math.isinf(at) else round(clock.now() - at, 3)
