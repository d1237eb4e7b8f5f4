"""Selectors and label matching compared to a naive model."""

from datetime import UTC, datetime, timedelta

from hypothesis import given
from hypothesis import strategies as st

from roadpass.selector import Labelled, Selector, Window, select
from tests import naive

KEYS = st.sampled_from(["tier", "hall", "kind"])
VALUES = st.sampled_from(["a", "b", "c"])
LABELS = st.dictionaries(KEYS, VALUES, max_size=3)
MATCH = st.dictionaries(
    KEYS, st.lists(st.one_of(VALUES, st.just("*")), min_size=1, max_size=2).map(tuple), max_size=2
)
MINUTES = st.integers(0, 24 * 60 - 1)
ZONES = st.sampled_from(["Asia/Kolkata", "Europe/Lisbon", "UTC", "America/St_Johns"])
DAYS = st.frozensets(st.integers(0, 6), min_size=1)
WINDOWS = st.builds(Window, DAYS, MINUTES, MINUTES, ZONES)
SELECTORS = st.lists(
    st.builds(
        Selector,
        st.just("s"),
        st.sampled_from([None, "one", "two"]),
        MATCH,
        MATCH,
        st.lists(WINDOWS, max_size=2).map(tuple),
        st.booleans(),
    ),
    max_size=4,
)
# No instants near a change to or from daylight saving time, where days have other lengths.
INSTANTS = st.integers(0, 60 * 24 * 100).map(
    lambda minutes: datetime(2026, 5, 1, tzinfo=UTC) + timedelta(minutes=minutes)
)


@given(WINDOWS, INSTANTS)
def test_window_agrees_with_naive_model(window: Window, instant: datetime) -> None:
    """Also windows past midnight, in any time zone."""
    assert window.contains(instant) == naive.in_window(window, instant)


@given(SELECTORS, LABELS, st.lists(LABELS, max_size=5), INSTANTS)
def test_select_agrees_with_naive_model(
    selectors: list[Selector],
    route: dict[str, str],
    targets: list[dict[str, str]],
    instant: datetime,
) -> None:
    """Groups, their order, and `spill`."""
    labelled = [Labelled(f"t{n}", labels) for n, labels in enumerate(targets)]
    got = select(selectors, "one", route, labelled, instant)
    assert [set(g) for g in got] == naive.select(selectors, "one", route, labelled, instant)


def test_window_of_a_whole_day() -> None:
    """`00:00` to `24:00` contains every minute."""
    window = Window.from_config({"from": "00:00", "to": "24:00", "zone": "UTC"})
    assert window.contains(datetime(2026, 12, 2, 23, 59, tzinfo=UTC))
