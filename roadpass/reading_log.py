"""The lines of a source's reader: what it asked for, whom, what came and how long it took."""

import math

from roadpass import clock
from roadpass.decision import decided
from roadpass.errors import PlatformError, StreamError
from roadpass.news import Word
from roadpass.source import Changes, ConfigPublished

PART = "reader"


def tell_reading(
    changes: Changes,
    *,
    told_by: str,
    after: int | None,
    config_held: int | None,
    news_at: float,
    confirmed_at: float,
    asked_at: float,
) -> None:
    """Log what was asked for and what came, so that a change that was never told shows.

    Args:
        changes: What came.
        told_by: The peer, empty for the source.
        after: The revision held before.
        config_held: The version of the configuration held before.
        news_at: Clock seconds as of which the source had nothing newer,
        confirmed_at: the same for what was held before.
        asked_at: Clock seconds at which it was asked.
    """
    configs = [c.config for c in changes.changes if isinstance(c, ConfigPublished)]
    decided(
        PART,
        "reading",
        told_by=told_by or "store",
        after=after,
        store_revision=changes.revision,
        changes=len(changes.changes),
        whole=changes.whole,
        config=configs[-1].version if configs else None,
        config_held=config_held,
        news_age_s=_age_s(news_at),
        confirmed_age_s=_age_s(confirmed_at),
        took_s=_age_s(asked_at),
    )


def tell_source_failed(
    error: PlatformError,
    *,
    failures: int,
    after: int | None,
    confirmed_at: float,
    asked_at: float,
) -> None:
    """Log a call to the source that failed; arguments as above, `failures` are those in a row."""
    decided(
        PART,
        "store-failed",
        error=str(error),
        failures=failures,
        after=after,
        confirmed_age_s=_age_s(confirmed_at),
        took_s=_age_s(asked_at),
    )


def tell_overtaken(
    result: Changes | PlatformError, *, asked_after: int | None, after: int | None, asked_at: float
) -> None:
    """Log what a call brought too late: peers had told more than it could before it was over."""
    decided(
        PART,
        "reading-overtaken",
        error=str(result) if isinstance(result, PlatformError) else None,
        store_revision=result.revision if isinstance(result, Changes) else None,
        asked_after=asked_after,
        after=after,
        took_s=_age_s(asked_at),
    )


def tell_unanswered(word: Word, error: StreamError, *, after: int | None, asked_at: float) -> None:
    """Log a question to a peer that it did not answer; arguments as above."""
    decided(
        PART,
        "peer-failed",
        vm=word.vm,
        revision=word.revision,
        error=str(error),
        after=after,
        word_age_s=_age_s(word.at),
        took_s=_age_s(asked_at),
    )


def tell_peer_behind(word: Word, *, held: int | None) -> None:
    """Log that a peer holds less than this node and takes that for the newest."""
    decided(
        PART,
        "peer-behind",
        vm=word.vm,
        revision=word.revision,
        held=held,
        word_age_s=_age_s(word.at),
    )


def _age_s(at: float) -> float | None:
    """Return how long ago a moment was, `None` if it never came."""
    return None if math.isinf(at) else round(clock.now() - at, 3)
