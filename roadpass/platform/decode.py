"""From the platform's written forms to the product's types.

Every reading function raises `PlatformError` on what it cannot understand, and on nothing else.
"""

import base64
import binascii
import json
import math
import re
from collections.abc import Iterator, Mapping
from typing import Any

import fastjsonschema

from roadpass.caller_limits import CallerLimits
from roadpass.customer import Customer, Customers
from roadpass.errors import CustomerError, PlatformError
from roadpass.platform._generated import check_entry
from roadpass.route import Part, Route
from roadpass.source import (
    Change,
    ConfigPublished,
    InvalidItem,
    PublishedConfig,
    PublishedService,
    TargetEntry,
    TargetPublished,
    TargetWithdrawn,
)

CONFIG_KEY = "op/config"
TARGETS_PREFIX = "servers/"
_UNITS = (("ms", 0.001), ("s", 1.0))
_INSTANCE = re.compile(r"[!-~]{1,200}")
"""What may be an id: it goes into a header of each request to its target, so no line ends."""
_PARSE_ERRORS = (
    *(KeyError, TypeError, ValueError, AttributeError, IndexError, OverflowError),
    RecursionError,  # of values nested too deep to be read
)


def change(item: Any) -> Change | None:
    """Read one item or event of the store; `None` if it concerns nothing of ours."""
    try:
        key = item["TlsKey"]
    except _PARSE_ERRORS as error:
        return InvalidItem("", f"the item has no key: {error!r}")
    if not isinstance(key, str):
        return InvalidItem("", f"the item's key is no text: {key!r:.100}")
    instance = key.removeprefix(TARGETS_PREFIX) if key.startswith(TARGETS_PREFIX) else ""
    try:
        if key == CONFIG_KEY:
            return None if item.get("Deleted") else ConfigPublished(config(_value(item)))
        if instance and item.get("Deleted"):
            return TargetWithdrawn(instance)
        if instance:
            return TargetPublished(target(instance, _value(item)))
    except PlatformError as error:
        return InvalidItem(key, str(error), instance)
    return None


def config(value: Any) -> PublishedConfig:
    """Read the operator's configuration."""
    try:
        limits = value["Limits"]
        return PublishedConfig(
            version=int(value["Version"]),
            routes=tuple(_route(row) for row in _rows(value["Routes"])),
            services={row["Name"]: _service(row) for row in _rows(value["Services"])},
            limits=CallerLimits(
                max_header_bytes=int(limits["MaxHeaderBytes"]),
                max_body_bytes=int(limits["MaxBodyBytes"]),
                header_timeout_s=seconds(limits["HeaderTimeout"]),
                idle_timeout_s=seconds(limits["IdleTimeout"]),
            ),
            customers=_customers(value.get("Tenants")),
        )
    except _PARSE_ERRORS as error:
        raise PlatformError(f"The configuration makes no sense: {error!r}.") from error


def target(instance: str, value: Any) -> TargetEntry:
    """Read a target's entry; anybody may have written it, so all that is used is checked."""
    if not _INSTANCE.fullmatch(instance):
        raise PlatformError("The id is none that a request could name.")
    try:
        check_entry.validate(value)
    except fastjsonschema.JsonSchemaValueException as error:
        raise PlatformError(f"The entry makes no sense: {error.message:.200}.") from error
    info = value["Info"]
    return TargetEntry(
        instance=instance,
        service=info["Service"],
        address=value["Address"],
        hall=info["Zone"],
        slots=int(info["Capacity"]),
        leaving=value["Status"]["State"] == "draining",
        born=int(value.get("born", 0)),
    )


def seconds(text: str) -> float:
    """Read a time such as `1500ms` or `2.5s`."""
    for unit, factor in _UNITS:
        if text.endswith(unit):
            value = float(text.removesuffix(unit)) * factor
            if math.isfinite(value) and value >= 0.0:
                return value
    raise ValueError(f"'{text}' is no time")


def _value(item: Mapping[str, Any]) -> Any:
    try:
        return json.loads(str(base64.b64decode(item["Value"], validate=True), "utf-8"))
    except (*_PARSE_ERRORS, binascii.Error) as error:
        raise PlatformError(f"The value cannot be read: {error!r}.") from error


def _rows(table: Mapping[str, Any]) -> Iterator[dict[str, Any]]:
    """Yield the rows of a table by column; what a row leaves out is missing."""
    columns = table["Columns"]
    for row in table["Rows"]:
        yield {name: cell for name, cell in zip(columns, row, strict=True) if cell is not None}


def _route(row: Mapping[str, Any]) -> Route:
    split = tuple(Part(p["Service"], float(p["Weight"])) for p in row.get("TrafficSplit", ()))
    split = tuple(part for part in split if part.weight > 0.0)
    latency = row.get("TargetLatency")
    return Route(
        name=row["Name"],
        host=row["Host"].lower(),
        path=row["PathPrefix"],
        methods=frozenset(),
        service=row.get("Service") or split[0].service,
        traffic_class=_traffic_class(row.get("Priority", 0)),
        repeatable=row["Kind"] == "idempotent",
        labels={},
        timeout_ms=int(seconds(row["Timeout"]) * 1000.0) if "Timeout" in row else None,
        split=split,
        max_attempts=int(row["MaxAttempts"]) if "MaxAttempts" in row else None,
        target_latency_ms=int(seconds(latency) * 1000.0) if latency is not None else None,
        public=bool(row.get("Public", False)),
    )


def _customers(table: Any) -> Customers:
    """Read the customers; what is wrong with them is said without what may be a key."""
    if table is None:
        return Customers()
    try:
        return Customers.from_keys((_customer(row), tuple(row["ApiKeys"])) for row in _rows(table))
    except CustomerError as error:
        raise PlatformError(f"The customers make no sense: {error}") from error
    except _PARSE_ERRORS as error:
        raise PlatformError(f"The customers make no sense: {type(error).__name__}.") from None


def _customer(row: Mapping[str, Any]) -> Customer:
    priority = row.get("Priority")
    return Customer(
        name=row["Name"],
        traffic_class=None if priority is None else _traffic_class(priority),
        rate_per_s=float(row.get("RatePerS", 0.0)),
        burst=float(row.get("Burst", 0.0)),
    )


def _traffic_class(priority: Any) -> str:
    """Return the class of a priority: sorted by name, the most important comes first."""
    return f"p{int(priority):03d}"


def _service(row: Mapping[str, Any]) -> PublishedService:
    return PublishedService(row["Name"], int(row.get("MaxConnections", 100)))
