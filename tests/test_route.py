"""The route table compared to a naive model, and paths that are nearly begun by a prefix."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from roadpass.route import Route, RouteTable
from tests import naive

SEGMENTS = st.sampled_from(["a", "b", "ab", "", ".", "%2f", "a%2Fb"])
PREFIXES = st.builds(
    lambda segments, end: "/" + "/".join(segments) + end,
    st.lists(st.sampled_from(["a", "b", "ab"]), min_size=1, max_size=3),
    st.sampled_from(["", "/"]),
) | st.just("/")
PATHS = st.lists(SEGMENTS, max_size=4).map(lambda p: "/" + "/".join(p)) | st.just("*")
METHODS = st.frozensets(st.sampled_from(["GET", "POST"]), max_size=2)
HOSTS = st.sampled_from(["*", "one", "two"])
ROUTES = st.lists(
    st.tuples(HOSTS, PREFIXES, METHODS), max_size=8, unique_by=lambda row: (row[0], row[1], row[2])
)


def route(name: str, path: str, *, host: str = "*", methods: frozenset[str] = frozenset()) -> Route:
    """Return a route."""
    return Route(name, host, path, methods, "s", None, False, {}, None)


@given(ROUTES, st.sampled_from(["one", "two", "three"]), PATHS, st.sampled_from(["GET", "POST"]))
def test_find_agrees_with_naive_model(
    rows: list[tuple[str, str, frozenset[str]]], host: str, path: str, method: str
) -> None:
    """Hosts, prefixes with and without a slash at their end, near misses, and methods."""
    routes = [
        route(f"r{n}", path_, host=host_, methods=methods)
        for n, (host_, path_, methods) in enumerate(rows)
    ]
    found = RouteTable(routes).find(f"{host.upper()}:8080", path + "?q=/a/b/", method)
    assert found == naive.find_route(routes, host, path, method)


# Guards against the failure "a prefix takes the path without its last slash": an added route took
# requests of another service, and what no prefix begins ran instead of getting 404.
@pytest.mark.parametrize(
    ("path", "name"),
    [
        ("/pufi791/2f", "outer"),
        ("/pufi791/2f?x=/", "outer"),
        ("/pufi791/2f/", "inner"),
        ("/pufi791/2f//", "inner"),
        ("/pufi791/2f/.", "inner"),
        ("/pufi791/2f%2f", "outer"),
        ("/pufi791/2f%2F", "outer"),
        ("/pufi791/", "outer"),
        ("/pufi791//2f/x", "outer"),
        ("/pufi791", ""),
        ("/pufi791?/", ""),
        ("/pufi791%2f2f/", ""),
        ("//pufi791/", ""),
        ("/", ""),
        ("*", ""),
    ],
)
def test_prefix_takes_only_what_it_begins(path: str, name: str) -> None:
    """The longest prefix that begins a path, character by character; without one, no route."""
    table = RouteTable([route("outer", "/pufi791/"), route("inner", "/pufi791/2f/")])
    found = table.find("any", path, "GET")
    assert (found.name if found else "") == name


def test_root_prefix_takes_all_paths_but_no_asterisk() -> None:
    """Guards against routing `OPTIONS *`, which names no path."""
    table = RouteTable([route("root", "/")])
    assert table.find("any", "/x", "GET") == table.find("any", "/", "GET") == route("root", "/")
    assert table.find("any", "*", "OPTIONS") is None


def test_shorter_prefix_takes_methods_that_a_longer_one_does_not_name() -> None:
    """Guards against 404 for a path that a route for any method begins."""
    named = route("named", "/a/b/", methods=frozenset({"POST"}))
    table = RouteTable([route("any", "/a/"), named])
    found = [table.find("h", "/a/b/c", method) for method in ("GET", "POST")]
    assert found == [route("any", "/a/"), named]


@pytest.mark.parametrize(
    ("host", "is_found"),
    [
        ("one.example", True),
        ("ONE.example:80", True),
        ("one.example:", True),
        ("one.example.", False),
        ("one.example:80:80", False),
        ("[::1]", False),
    ],
)
def test_host_is_compared_without_port_and_case(host: str, is_found: bool) -> None:
    """Guards against a host that is taken for another, such as an address cut at its colons."""
    table = RouteTable([route("r", "/", host="one.example"), route("v6", "/", host="[:")])
    assert (table.find(host, "/", "GET") is not None) == is_found
