"""Packing: frequent messages are short, and any other data round-trips or raises an error."""

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from roadpass.errors import FrameError
from roadpass.message import AdmissionCheck, Attempt
from roadpass.packing import pack, unpack

ATTEMPT = Attempt(
    id="10.1.0.7/1764689511000/4711",
    target="i-5c09284c20",
    route="r-i2nujs",
    method="POST",
    path="/xaje911/2f",
    headers=[("host", "bami51.example"), ("request-id", "dd37308d0979b6c7")],
    body=b"",
    remaining_ms=2480.25,
    traffic_class="p001",
    caller="10.1.0.7",
    repeatable=False,
    retry=False,
    revision=7,
    slow_ms=0.0,
    request_id="dd37308d0979b6c7",
    origin="wuwu69a",
)

values = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**40), 2**40) | st.text() | st.binary(),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4),
)


@given(values)
def test_round_trip(value: object) -> None:
    """Any value that msgpack supports is restored."""
    assert unpack(pack(value)) == value


@given(st.binary(max_size=200))
def test_random_bytes_raise_only_frame_errors(data: bytes) -> None:
    """No other exception escapes from unpacking."""
    try:
        unpack(data)
    except FrameError:
        return


def test_truncated_or_extended_data_is_an_error() -> None:
    """Either could otherwise be taken for a different message."""
    packed = pack({"t": "hello"})
    for data in (packed[:-1], packed + b"x", packed + packed, b""):
        with pytest.raises(FrameError):
            unpack(data)


def test_a_message_that_unpacks_to_too_many_bytes_is_an_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A few packed bytes must not exhaust a node's memory."""
    packed = pack(b"\0" * 100_000)
    assert len(packed) < 1000
    monkeypatch.setattr("roadpass.packing.MAX_BYTES", 50_000)
    with pytest.raises(FrameError):
        unpack(packed)


def test_frequent_messages_are_short() -> None:
    """An attempt is far shorter than plain msgpack; an admission check fits into a fixed size.

    An admission check omits default values also in its plain form, so a ratio of the two sizes says
    nothing. With all fields written it took 85 bytes.
    """
    attempt = ATTEMPT.to_message()
    assert len(pack(attempt)) < 0.6 * len(msgpack.packb(attempt))
    assert len(pack(AdmissionCheck.of(ATTEMPT).to_message())) <= 60
