"""Decodes the platform's formats into the types of this package.

Every public decoding function but `seconds` raises `PlatformError` on invalid input and nothing
else; `change` returns an `InvalidItem` instead.
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
from roadpass.target_notice import MAX_SHOWN, valid_warm_up_ms

CONFIG_KEY = "op/config"
TARGETS_PREFIX = "servers/"
_UNITS = (("ms", 0.001), ("s", 1.0))
_INSTANCE = re.compile(r"[!-~]{1,200}")
"""Allowed instance ids. They are sent in a header of each request, so no line breaks."""
_PARSE_ERRORS = (
    *(KeyError, TypeError, ValueError, AttributeError, IndexError, OverflowError),
    RecursionError,  # from JSON nested too deeply
)


def change(item: Any) -> Change | None:
    """Decode one item or event of the store; `None` if it is not used here."""
    try:
        key = item["TlsKey"]
    except _PARSE_ERRORS as error:
        return InvalidItem("", f"item without a key: {error!r}")
    if not isinstance(key, str):
        return InvalidItem("", f"key of the item is not a string: {key!r:.100}")
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
    """Decode the operator's configuration.

    Raises:
        PlatformError: It is not valid.
    """
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
        raise PlatformError(f"The configuration is invalid: {error!r}.") from error


def target(instance: str, value: Any) -> TargetEntry:
    """Decode a target's entry; anybody may have written it, so every field used is validated.

    Raises:
        PlatformError: It is not valid.
    """
    if not _INSTANCE.fullmatch(instance):
        raise PlatformError("The instance id cannot be sent in a header.")
    try:
        check_entry.validate(value)
    except fastjsonschema.JsonSchemaValueException as error:
        raise PlatformError(f"The entry is invalid: {error.message:.200}.") from error
    info = value["Info"]
    warm_up_ms, warm_up_invalid = _warm_up(value["Status"])
    return TargetEntry(
        instance=instance,
        service=info["Service"],
        address=value["Address"],
        hall=info["Zone"],
        slots=int(info["Capacity"]),
        leaving=value["Status"]["State"] == "draining",
        born=int(value.get("born", 0)),
        warm_up_ms=warm_up_ms,
        warm_up_invalid=warm_up_invalid,
    )


def seconds(text: str) -> float:
    """Parse a duration such as `1500ms` or `2.5s`.

    Raises:
        ValueError: It is not a finite, non-negative duration with a unit.
    """
    for unit, factor in _UNITS:
        if text.endswith(unit):
            value = float(text.removesuffix(unit)) * factor
            if math.isfinite(value) and value >= 0.0:
                return value
    raise ValueError(f"'{text}' is not a duration such as 1500ms or 2.5s")


def _warm_up(status: Mapping[str, Any]) -> tuple[float, str]:
    """Return the milliseconds for which a target is still cold, or how an invalid time is shown."""
    if "WarmupLeft" not in status:
        return 0.0, ""
    value = status["WarmupLeft"]
    try:
        left_ms = seconds(value) * 1000.0
    except _PARSE_ERRORS:
        left_ms = math.nan
    return (left_ms, "") if valid_warm_up_ms(left_ms) else (0.0, repr(value)[:MAX_SHOWN])


def _value(item: Mapping[str, Any]) -> Any:
    try:
        return json.loads(str(base64.b64decode(item["Value"], validate=True), "utf-8"))
    except (*_PARSE_ERRORS, binascii.Error) as error:
        raise PlatformError(f"The value cannot be decoded: {error!r}.") from error


def _rows(table: Mapping[str, Any]) -> Iterator[dict[str, Any]]:
    """Yield the rows of a table as dictionaries by column name, without empty cells."""
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
        upload=row["Kind"] == "upload",
    )


def _customers(table: Any) -> Customers:
    """Decode the customers; error messages contain no value that may be an API key."""
    if table is None:
        return Customers()
    try:
        return Customers.from_keys((_customer(row), tuple(row["ApiKeys"])) for row in _rows(table))
    except CustomerError as error:
        raise PlatformError(f"The customers are invalid: {error}") from error
    except _PARSE_ERRORS as error:
        raise PlatformError(f"The customers are invalid: {type(error).__name__}.") from None


def _customer(row: Mapping[str, Any]) -> Customer:
    priority = row.get("Priority")
    return Customer(
        name=row["Name"],
        traffic_class=None if priority is None else _traffic_class(priority),
        rate_per_s=float(row.get("RatePerS", 0.0)),
        burst=float(row.get("Burst", 0.0)),
    )


def _traffic_class(priority: Any) -> str:
    """Return the traffic class of a priority; class names sort the most important first."""
    return f"p{int(priority):03d}"


def _service(row: Mapping[str, Any]) -> PublishedService:
    return PublishedService(row["Name"], int(row.get("MaxConnections", 100)))
