"""Source updates between nodes: the wire format of `Changes`, and fetching updates from a peer."""

from collections.abc import Collection
from typing import Any, NamedTuple

from roadpass import clock
from roadpass._generated.message_types import CatchUp
from roadpass.caller_limits import CallerLimits
from roadpass.customer import Customers
from roadpass.errors import CustomerError, FrameError, StreamError
from roadpass.message import Message
from roadpass.peer_pool import Address, PeerPool
from roadpass.position import Position
from roadpass.route import Part, Route
from roadpass.source import (
    Change,
    Changes,
    ConfigPublished,
    InvalidItem,
    PublishedConfig,
    PublishedService,
    TargetEntry,
    TargetPublished,
    TargetWithdrawn,
)
from roadpass.target_notice import MAX_SHOWN, valid_warm_up_ms

FETCH_TIMEOUT_S = 0.35
"""Timeout of a request to a peer in seconds. A reply takes milliseconds, and what it contains must
be in force within 2 s."""
_PARSE_ERRORS = (TypeError, ValueError, IndexError, AttributeError)


class PeerPosition(NamedTuple):
    """A peer's announcement of the position that it has reached.

    Args:
        position: In the history of the source.
        confirmed_at: Clock seconds at which the source had nothing newer, according to the peer.
        vm: The peer's VM.
        address: Of the peer's stream port.
        near: Whether the peer is in this node's data hall.
    """

    position: Position
    confirmed_at: float
    vm: str
    address: Address
    near: bool = True


class SourceUpdate(NamedTuple):
    """A node's full state of a source, or what has changed since a position.

    Args:
        changes: As read from the source.
        confirmed_at: Clock seconds at which the source is known to have had nothing newer.
    """

    changes: Changes
    confirmed_at: float

    @classmethod
    def from_message(cls, message: Message, requested_at: float) -> "SourceUpdate":
        """Build an update from a validated message.

        Args:
            message: Its ages are relative to the time it was sent.
            requested_at: Clock seconds at which it was requested. Ages are counted from then, so
                that a delayed update is taken as older than it is, never as fresher.

        Raises:
            FrameError: Its configuration cannot be read.
        """
        changes: list[Change] = []
        if "config" in message:
            uploads = frozenset(message.get("uploads", ()))
            changes.append(ConfigPublished(_read_config(message["config"], uploads)))
        left = dict(message.get("warm_up", ()))
        rows = enumerate(message["targets"])
        changes += [TargetPublished(_read_entry(row, left.get(i, 0.0))) for i, row in rows]
        changes += [TargetWithdrawn(instance) for instance in message["withdrawn"]]
        return cls(
            Changes(Position.from_message(message), tuple(changes), full=message["whole"]),
            requested_at - message["age_s"],
        )

    def to_message(self, now: float) -> Message:
        """Return the message to send at a time in clock seconds; ages are relative to it.

        What is left of the warm-ups in its entries must be as of that time.
        """
        message: dict[str, Any] = {
            "t": "news",
            **self.changes.position.to_message(),
            "age_s": max(0.0, now - self.confirmed_at),
            "whole": self.changes.full,
            "targets": [],
            "withdrawn": [],
        }
        for change in self.changes.changes:
            match change:
                case ConfigPublished(config=config):
                    message["config"] = _config_row(config)
                    uploads = [i for i, route in enumerate(config.routes) if route.upload]
                    if uploads:
                        message["uploads"] = uploads
                case TargetPublished(entry=entry):
                    if entry.warm_up_ms > 0.0:
                        row = [len(message["targets"]), entry.warm_up_ms]
                        message.setdefault("warm_up", []).append(row)
                    message["targets"].append(_entry_row(entry))
                case TargetWithdrawn(instance=instance):
                    message["withdrawn"].append(instance)
                case InvalidItem(instance=instance) if instance:
                    message["withdrawn"].append(instance)
                case InvalidItem():
                    pass
        return message


def fetch_update(peers: PeerPool, address: Address, after: Position) -> SourceUpdate:
    """Request what came after a position from a peer.

    Raises:
        StreamError: The peer did not answer, or its reply was not a usable update.
    """
    message: CatchUp = {"t": "catch_up", "after": after.revision}
    if after.era:
        message["era"] = after.era
    requested_at = clock.now()
    reply = peers.exchange(address, message, timeout_s=FETCH_TIMEOUT_S)
    if reply["t"] != "news":
        raise StreamError("The peer's reply was not a source update.")
    return SourceUpdate.from_message(reply, requested_at)


def _entry_row(entry: TargetEntry) -> list[Any]:
    """Return an entry's row; older nodes can read it without an unknown `born` and the warm-up."""
    return list(entry[:7]) if entry.born else list(entry[:6])


def _read_entry(row: list[Any], left_ms: Any) -> TargetEntry:
    """Return the entry of a row, with what is left of its warm-up; an invalid one is left out."""
    entry = TargetEntry(*row)
    if valid_warm_up_ms(left_ms):
        return entry._replace(warm_up_ms=float(left_ms))
    return entry._replace(warm_up_invalid=repr(left_ms)[:MAX_SHOWN])


def _config_row(config: PublishedConfig) -> list[Any]:
    routes = [
        [
            *route[:3],
            sorted(route.methods),
            *route[4:9],
            [list(p) for p in route.split],
            *route[10:-1],  # older nodes cannot read `upload`, which is sent separately
        ]
        for route in config.routes
    ]
    services = [list(service) for service in config.services.values()]
    row = [config.version, routes, services, list(config.limits)]
    if config.customers:  # left out if empty, so that older nodes can read the row
        row.append([config.customers.salt, config.customers.rows()])
    return row


def _read_config(row: Any, uploads: Collection[int]) -> PublishedConfig:
    try:
        version, routes, services, limits, *more = row
        known = [PublishedService(*row) for row in services]
        return PublishedConfig(
            version=version,
            routes=tuple(_route(row, upload=i in uploads) for i, row in enumerate(routes)),
            services={service.name: service for service in known},
            limits=CallerLimits(*limits),
            customers=Customers.from_rows(*more[0]) if more else Customers(),
        )
    except CustomerError as error:
        raise FrameError(str(error)) from error
    except _PARSE_ERRORS as error:
        raise FrameError(f"The configuration cannot be read: {error!r}.") from error


def _route(row: list[Any], *, upload: bool) -> Route:
    split = tuple(Part(*part) for part in row[9])
    return Route._make([*row[:3], frozenset(row[3]), *row[4:9], split, *row[10:], upload])
