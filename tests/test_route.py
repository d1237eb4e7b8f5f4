"""The route table compared to a naive model."""

from hypothesis import given
from hypothesis import strategies as st

from roadpass.route import Route, RouteTable
from tests import naive

PATHS = st.lists(st.sampled_from(["a", "b", "ab"]), max_size=3).map(lambda p: "/" + "/".join(p))
METHODS = st.frozensets(st.sampled_from(["GET", "POST"]), max_size=2)
HOSTS = st.sampled_from(["*", "one", "two"])
ROUTES = st.lists(
    st.tuples(HOSTS, PATHS, METHODS), max_size=8, unique_by=lambda row: (row[0], row[1], row[2])
)


@given(ROUTES, st.sampled_from(["one", "two", "three"]), PATHS, st.sampled_from(["GET", "POST"]))
def test_find_agrees_with_naive_model(
    rows: list[tuple[str, str, frozenset[str]]], host: str, path: str, method: str
) -> None:
    """Hosts, prefixes of whole path segments, and methods."""
    routes = [
        Route(f"r{n}", host_, path_, methods, "s", None, False, {}, None)
        for n, (host_, path_, methods) in enumerate(rows)
    ]
    assert RouteTable(routes).find(f"{host}:8080", path + "?q=/a/b", method) == naive.find_route(
        routes, host, path, method
    )
