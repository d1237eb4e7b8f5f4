"""Entries of the platform's store, whoever wrote them: what names a target, and what names none."""

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
    """Return a configuration with these customers."""
    padded = [[*row, *[None] * (len(columns) - len(row))] for row in rows]
    return {**CONFIG, "Tenants": {"Columns": columns, "Rows": padded}}


def test_customers_of_a_configuration() -> None:
    """Their keys, limits and class; what a row leaves out is no limit and the route's class."""
    got = decode.config(tenants(["a", [SECRET, "k2"], 1, 78, 20], ["b", ["k3"]]))
    found = got.customers.find(Credential(SECRET))
    assert found == Customer("a", "p001", 78.0, 20.0)
    assert got.customers.find(Credential("k3")) == Customer("b", None, 0.0, 0.0)
    assert got.customers.find(Credential("k4")) is None
    assert not decode.config(CONFIG).customers


def test_a_route_may_need_no_key() -> None:
    """One that says nothing needs one."""
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
def test_customers_that_make_no_sense(value: Value) -> None:
    """The version is left out with a reason that shows no key."""
    value = {**value, "Routes": {"Columns": [], "Rows": []}}
    got = written(value, "op/config")
    assert isinstance(got, InvalidItem)
    assert got.why.startswith("The customers make no sense")
    assert SECRET not in got.why


def item(key: Any, raw: bytes) -> Value:
    """Return an item of the store."""
    return {"TlsKey": key, "Value": base64.b64encode(raw).decode(), "Revision": 3}


def written(value: Any, key: Any = "servers/i-1") -> Change | None:
    """Return what an entry with a value is read as."""
    return decode.change(item(key, json.dumps(value).encode()))


def test_an_entry_as_its_target_writes_it() -> None:
    """Fields that are not known yet say nothing against it."""
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
    "Status.WarmupLeft": (4, None),
    "Address": (
        *(None, 80, "", ":80", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:-5"),
        *("evil.example:99999", "evil.example:80", "10.0.0.1:65536", "10.0.0.256:80"),
        *("10.0.0.1:80\n", " 10.0.0.1:80", "[::1]:80", "10.0.0.01:80", "10.0.0.1:\u0668\u0660"),
    ),
}
"""By field: what it may not hold."""


def place(value: Value, field: str) -> tuple[Value, str]:
    """Return where a field stands, and its name there."""
    where, _, name = field.rpartition(".")
    return (value[where] if where else value), name


@pytest.mark.parametrize("field", MISSING)
def test_a_field_that_is_missing(field: str) -> None:
    """The entry names no target to use, and says whose it would be."""
    value = entry("10.0.0.1:80")
    holder, name = place(value, field)
    del holder[name]
    got = written(value)
    assert isinstance(got, InvalidItem)
    assert (got.key, got.instance) == ("servers/i-1", "i-1")


@pytest.mark.parametrize(
    ("field", "cell"), [(field, cell) for field, cells in OTHERS.items() for cell in cells]
)
def test_a_field_of_another_kind_or_beyond_its_bounds(field: str, cell: Any) -> None:
    """The same: nothing of such an entry is guessed."""
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
def test_bytes_that_make_no_entry(raw: bytes) -> None:
    """However they are spoilt."""
    got = decode.change(item("servers/i-1", raw))
    assert isinstance(got, InvalidItem)
    assert got.instance == "i-1"


@pytest.mark.parametrize("instance", ["a b", "a\r\nX: 1", "é", "x" * 201, "\x7f"])
def test_an_id_that_no_request_could_name(instance: str) -> None:
    """It would go into a header."""
    assert isinstance(written(entry("10.0.0.1:80"), f"servers/{instance}"), InvalidItem)


@pytest.mark.parametrize("key", [None, 7, ["servers/i-1"], {}, True])
def test_a_key_that_is_no_text(key: Any) -> None:
    """It concerns no target."""
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
    """Draw an entry in which some fields hold anything, or are missing."""
    value = entry("10.0.0.1:80")
    for place in (value, value["Info"], value["Status"]):
        for name in draw(st.lists(st.sampled_from(FIELDS), max_size=2)):
            if draw(st.booleans()):
                place[name] = draw(JSON)
            else:
                place.pop(name, None)
    return value


@given(JSON | altered())
def test_no_value_raises_and_what_is_taken_can_be_used(value: Any) -> None:
    """Whatever stands there: a target with an address and slots, or none."""
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
            pytest.fail(f"read as {other!r}")


@given(st.binary(max_size=64))
def test_no_bytes_raise(raw: bytes) -> None:
    """They are read as an entry of the key's target or as none."""
    assert isinstance(decode.change(item("servers/i-1", raw)), TargetPublished | InvalidItem)


@given(JSON)
def test_no_item_raises(value: Any) -> None:
    """A page or an event may hold anything."""
    got = decode.change(value)
    assert got is None or isinstance(got, TargetWithdrawn | InvalidItem)


def test_the_error_of_a_value_is_one_of_the_layer() -> None:
    """Callers of the reading functions know no other."""
    with pytest.raises(PlatformError):
        decode.target("i-1", None)
