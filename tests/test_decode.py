"""Decoding of the platform's store: which entries define a target, and which are invalid."""

import base64
import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from roadpass.customer import Credential, Customer
from roadpass.errors import PlatformError
from roadpass.platform import decode
from roadpass.source import Change, InvalidItem, TargetPublished, TargetWithdrawn
from stand_ins.store import entry

Value = dict[str, Any]


CONFIG: Value = {
    "Version": 7,
    "Limits": {
        "MaxHeaderBytes": 1000,
        "MaxBodyBytes": 2000,
        "HeaderTimeout": "3000ms",
        "IdleTimeout": "15s",
    },
    "Services": {"Columns": ["Name"], "Rows": [["s"]]},
    "Routes": {
        "Columns": ["Name", "Host", "PathPrefix", "Kind", "Service", "Public", "Priority"],
        "Rows": [
            ["r", "h", "/r/", "idempotent", "s", False, 2],
            ["f", "h", "/f/", "idempotent", "s", True, None],
        ],
    },
}
SECRET = "a828m82thhkmgjqnirth"
COLUMNS = ["Name", "ApiKeys", "Priority", "RatePerS", "Burst"]


def tenants(*rows: Any, columns: Any = COLUMNS) -> Value:
    """Return a configuration with the given customers; missing cells are empty."""
    padded = [[*row, *[None] * (len(columns) - len(row))] for row in rows]
    return {**CONFIG, "Tenants": {"Columns": columns, "Rows": padded}}


def test_customers_of_a_configuration() -> None:
    """A customer has no limit, and the class of the route, unless its row says otherwise."""
    got = decode.config(tenants(["a", [SECRET, "k2"], 1, 78, 20], ["b", ["k3"]]))
    found = got.customers.find(Credential(SECRET))
    assert found == Customer("a", "p001", 78.0, 20.0)
    assert got.customers.find(Credential("k3")) == Customer("b", None, 0.0, 0.0)
    assert got.customers.find(Credential("k4")) is None
    assert not decode.config(CONFIG).customers


def test_a_public_route_needs_no_key() -> None:
    """A route without the field needs a key."""
    columns, rows = CONFIG["Routes"]["Columns"], CONFIG["Routes"]["Rows"]
    bare = {"Columns": columns[:5], "Rows": [row[:5] for row in rows]}
    routes = {"Columns": columns, "Rows": rows}
    assert [r.public for r in decode.config({**CONFIG, "Routes": routes}).routes] == [False, True]
    assert [r.public for r in decode.config({**CONFIG, "Routes": bare}).routes] == [False, False]


@pytest.mark.parametrize(
    "value",
    [
        tenants(["a", [SECRET]], ["b", [SECRET]]),
        tenants(["a", [SECRET]], ["a", ["k"]]),
        tenants(["a", [SECRET], 1, -1, 0]),
        tenants(["a", [SECRET], 1, 1, -1]),
        tenants(["a", [SECRET], 1, 1e400, 1]),
        tenants(["a", [SECRET], "x"]),
        tenants(["a", [f"{SECRET} "]]),
        tenants(["a", [7]]),
        tenants(["a"]),
        tenants([None, [SECRET]]),
        tenants(["a\r\nX: y", [SECRET]]),
        tenants(["a", 1, SECRET], columns=["Name", "Priority", "RatePerS"]),
        {**CONFIG, "Tenants": [[SECRET]]},
        {**CONFIG, "Tenants": {"Columns": COLUMNS, "Rows": [[SECRET]]}},
    ],
)
def test_invalid_customers(value: Value) -> None:
    """The configuration is ignored, with a reason that shows no key."""
    value = {**value, "Routes": {"Columns": [], "Rows": []}}
    got = written(value, "op/config")
    assert isinstance(got, InvalidItem)
    assert got.why.startswith("The customers are invalid")
    assert SECRET not in got.why


def item(key: Any, raw: bytes) -> Value:
    """Return an item of the store with a raw value."""
    return {"TlsKey": key, "Value": base64.b64encode(raw).decode(), "Revision": 3}


def written(value: Any, key: Any = "servers/i-1") -> Change | None:
    """Return the decoded change for an entry with a value."""
    return decode.change(item(key, json.dumps(value).encode()))


def test_an_entry_as_its_target_writes_it() -> None:
    """Unknown fields are ignored."""
    value = entry("10.0.0.1:80", born=12)
    value["Later"] = value["Info"]["Later"] = value["Status"]["Later"] = [1]
    got = written(value)
    assert isinstance(got, TargetPublished)
    assert (got.entry.address, got.entry.slots, got.entry.leaving) == ("10.0.0.1:80", 4, False)
    assert (got.entry.instance, got.entry.born, got.entry.name) == ("i-1", 12, "i-1@12")


MISSING = (
    *("Address", "Info", "Status"),
    *("Info.Service", "Info.Zone", "Info.Capacity", "Status.State"),
)
OTHERS: dict[str, tuple[Any, ...]] = {
    "Info": ([], None, "x"),
    "Status": ("ready", None),
    "Info.Capacity": ("6", True, 2.9, -3, 0, 10**12, None, [4], float("nan"), float("inf")),
    "Info.Service": (None, {}, 7, "", "a\r\nb", "x" * 201),
    "Info.Zone": (None, {}, 7, "", "a\r\nb", "x" * 201),
    "Info.Version": (1, None),
    "born": ("12", "x", -1, 1.5, True, None, [12], 2**70),
    "Status.State": ("READY", "gone", "", None, True, ["ready"]),
    "Status.Sequence": ("4", -1, True),
    "Address": (
        *(None, 80, "", ":80", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:-5"),
        *("evil.example:99999", "evil.example:80", "10.0.0.1:65536", "10.0.0.256:80"),
        *("10.0.0.1:80\n", " 10.0.0.1:80", "[::1]:80", "10.0.0.01:80", "10.0.0.1:\u0668\u0660"),
    ),
}
"""Invalid values by field."""


def place(value: Value, field: str) -> tuple[Value, str]:
    """Return the object that contains a field, and the field's name in it."""
    where, _, name = field.rpartition(".")
    return (value[where] if where else value), name


@pytest.mark.parametrize("field", MISSING)
def test_a_missing_field(field: str) -> None:
    """The entry is invalid, and the result names its target."""
    value = entry("10.0.0.1:80")
    holder, name = place(value, field)
    del holder[name]
    got = written(value)
    assert isinstance(got, InvalidItem)
    assert (got.key, got.instance) == ("servers/i-1", "i-1")


@pytest.mark.parametrize(
    ("cell", "left_ms"), [("1500ms", 1500.0), ("2.5s", 2500.0), ("0ms", 0.0), ("24h", None)]
)
def test_remaining_warm_up(cell: str, left_ms: float | None) -> None:
    """It is read with its unit; a unit that the platform does not use is no time."""
    value = entry("10.0.0.1:80")
    value["Status"]["WarmupLeft"] = cell
    got = written(value)
    assert isinstance(got, TargetPublished)
    assert got.entry.warm_up_ms == (left_ms or 0.0)
    assert bool(got.entry.warm_up_invalid) is (left_ms is None)


@pytest.mark.parametrize(
    "cell",
    [
        *(4, None, True, [], {}, float("nan"), float("inf"), -1.5),
        *("", "x", "-1ms", "nanms", "infs", "1e999s", "86400001ms", "1d", "ms", "\u0661x" * 500),
    ],
)
def test_impossible_warm_up_leaves_the_rest_of_the_entry(cell: Any) -> None:
    """A target whose only fault is this value must not be lost; a bounded text says what it was."""
    value = entry("10.0.0.1:80", born=12)
    value["Status"]["WarmupLeft"] = cell
    got = written(value)
    assert isinstance(got, TargetPublished)
    assert (got.entry.name, got.entry.slots, got.entry.warm_up_ms) == ("i-1@12", 4, 0.0)
    assert 0 < len(got.entry.warm_up_invalid) <= 40


@pytest.mark.parametrize(
    ("field", "cell"), [(field, cell) for field, cells in OTHERS.items() for cell in cells]
)
def test_a_field_of_the_wrong_type_or_out_of_range(field: str, cell: Any) -> None:
    """The entry is invalid; no value is guessed."""
    value = entry("10.0.0.1:80")
    holder, name = place(value, field)
    holder[name] = cell
    got = written(value)
    assert isinstance(got, InvalidItem)
    assert got.instance == "i-1"


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b"\xff\xfe\x00",
        b"{",
        b"null",
        b"7",
        b"[]",
        b"[" * 100_000,
        b'{"Info":' * 50_000,
        b"9" * 5_000,
        json.dumps(entry("10.0.0.1:80")).encode("utf-16"),
    ],
    ids=range(10),
)
def test_bytes_that_are_no_entry(raw: bytes) -> None:
    """Malformed JSON, other types, deep nesting and other encodings are invalid items."""
    got = decode.change(item("servers/i-1", raw))
    assert isinstance(got, InvalidItem)
    assert got.instance == "i-1"


@pytest.mark.parametrize("instance", ["a b", "a\r\nX: 1", "é", "x" * 201, "\x7f"])
def test_an_id_that_cannot_be_sent_in_a_header(instance: str) -> None:
    """Each request to a target carries the target's id in a header."""
    assert isinstance(written(entry("10.0.0.1:80"), f"servers/{instance}"), InvalidItem)


@pytest.mark.parametrize("key", [None, 7, ["servers/i-1"], {}, True])
def test_a_key_that_is_not_a_string(key: Any) -> None:
    """The item is invalid and affects no target."""
    got = written(entry("10.0.0.1:80"), key)
    assert isinstance(got, InvalidItem)
    assert got.instance == ""


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4),
    max_leaves=12,
)
FIELDS = ("Address", "Info", "Status", "Service", "Zone", "Capacity", "State", "Born")


@st.composite
def altered(draw: st.DrawFn) -> Value:
    """Draw an entry in which some fields are missing or have arbitrary values."""
    value = entry("10.0.0.1:80")
    for place in (value, value["Info"], value["Status"]):
        for name in draw(st.lists(st.sampled_from(FIELDS), max_size=2)):
            if draw(st.booleans()):
                place[name] = draw(JSON)
            else:
                place.pop(name, None)
    return value


@given(JSON | altered())
def test_no_value_raises_and_accepted_entries_are_usable(value: Any) -> None:
    """Any value is a target with a usable address and slots, or an invalid item."""
    match written(value):
        case TargetPublished(entry=got):
            host, _, port = got.address.rpartition(":")
            assert len(host.split(".")) == 4
            assert 0 < int(port) < 65536
            assert 1 <= got.slots <= 10_000
            assert isinstance(got.slots, int)
            assert got.service
            assert got.hall
            assert got.born >= 0
        case InvalidItem(instance=instance):
            assert instance == "i-1"
        case other:
            pytest.fail(f"decoded as {other!r}")


@given(st.binary(max_size=64))
def test_no_bytes_raise(raw: bytes) -> None:
    """Any bytes are an entry of the key's target or an invalid item."""
    assert isinstance(decode.change(item("servers/i-1", raw)), TargetPublished | InvalidItem)


@given(JSON)
def test_no_item_raises(value: Any) -> None:
    """A page or an event may contain any JSON."""
    got = decode.change(value)
    assert got is None or isinstance(got, TargetWithdrawn | InvalidItem)


def test_an_invalid_entry_raises_a_platform_error() -> None:
    """Callers of the decoding functions handle no other error."""
    with pytest.raises(PlatformError):
        decode.target("i-1", None)
