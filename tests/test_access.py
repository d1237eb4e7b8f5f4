"""Authentication at the ingress over real sockets: keys, public routes and headers."""

from collections.abc import Iterator
from typing import Any

import pytest

from roadpass.access import identify
from roadpass.customer import Credential, Customer, Customers
from roadpass.fleet import Fleet
from roadpass.platform.dialect import PLATFORM
from roadpass.request import Request, Served
from roadpass.route import Route
from tests.calling import Bench, opened, post

SECRET = "a828m82thhkmgjqnirth"
LIBRARY = Customer("library")


def fleet(*keys: str) -> Fleet:
    """Return a fleet with a route that needs a key and one that needs none."""
    routes = {
        name: Route(name, "shop", f"/{name}/", frozenset(), "s", None, True, {}, None, public=free)
        for name, free in (("members", False), ("free", True))
    }
    customers = Customers.from_keys([(LIBRARY, keys)])
    return Fleet({}, {}, routes, (), revision=3, customers=customers)


def get(path: str, headers: str = "") -> bytes:
    """Return a GET request for a path."""
    return f"GET {path} HTTP/1.1\r\nHost: shop\r\n{headers}\r\n".encode()


def key(value: str = SECRET) -> str:
    """Return a header line with a key."""
    return f"Authorization: Token {value}\r\n"


@pytest.fixture
def bench() -> Iterator[Bench]:
    """Run an ingress for a fleet with customers."""
    with opened(PLATFORM) as made:
        made.view.fleet = fleet(SECRET)
        yield made


def names(request: Request) -> set[str]:
    """Return the names of the forwarded headers in lower case."""
    return {name.lower() for name, _ in request.headers}


def test_key_is_dropped_and_its_customer_is_the_caller(bench: Bench) -> None:
    """A customer name sent by the caller is dropped, in any case and however often."""
    forged = "Tenant-Id: other\r\nTENANT-ID: other\r\n"
    for more in ("", "Connection: tenant-id, authorization\r\n"):
        assert bench.caller().ask(get("/members/1", key() + forged + more)).status == 200
    assert len(bench.requests) == 2
    for request in bench.requests:
        assert request.customer == LIBRARY
        assert request.caller == "library"
        assert not names(request) & {"authorization", "tenant-id"}
        assert SECRET not in repr(request)


def test_trailers_are_ignored_for_authentication(bench: Bench) -> None:
    """Trailers are neither used for authentication nor forwarded."""
    caller = bench.caller()
    head = "POST /members/1 HTTP/1.1\r\nHost: shop\r\nTransfer-Encoding: chunked\r\n"
    rest = (
        f"Trailer: Tenant-Id, Authorization\r\n\r\n2\r\nok\r\n0\r\nTenant-Id: other\r\n{key()}\r\n"
    )
    assert caller.ask((head + key() + rest).encode()).status == 200
    (request,) = bench.requests
    assert (request.customer, request.body) == (LIBRARY, b"ok")
    assert not names(request) & {"authorization", "tenant-id", "trailer"}
    assert bench.caller().ask((head + rest).encode()).status == 401


@pytest.mark.parametrize(
    "headers", ["", key("unknown"), key() + key(), f"Authorization: Basic {SECRET}\r\n"]
)
def test_request_without_a_known_key_is_refused(bench: Bench, headers: str) -> None:
    """The request is not dispatched, and the response names the authentication scheme."""
    reply = bench.caller().ask(get("/members/1", headers))
    assert (reply.status, reply.header("WWW-Authenticate")) == (401, "Token")
    assert bench.requests == []


def test_public_route_accepts_any_request(bench: Bench) -> None:
    """A public route accepts requests without a key or with an unknown one, and drops the key."""
    caller = bench.caller()
    for headers in ("", key("unknown"), key()):
        assert caller.ask(get("/free/1", headers)).status == 200
    assert [request.customer for request in bench.requests] == [None, None, LIBRARY]
    assert not any(names(request) & {"authorization"} for request in bench.requests)


def test_unauthenticated_request_is_refused_before_its_body(bench: Bench) -> None:
    """The response is sent after the head, so an unauthenticated body takes no memory."""
    caller = bench.caller()
    head = f"POST /members/1 HTTP/1.1\r\nHost: shop\r\n{key('x')}Content-Length: 1000000\r\n\r\n"
    caller.send(head.encode())
    assert caller.reply().status == 401


def test_key_is_checked_for_each_request_of_a_connection(bench: Bench) -> None:
    """After a key is revoked the next request is refused, also among pipelined requests."""
    caller = bench.caller()
    assert caller.ask(get("/members/1", key())).status == 200
    bench.view.fleet = fleet("new")
    caller.send(get("/members/2", key()) + get("/members/3", key()))
    assert caller.reply().status == 401
    assert caller.rest() == b""
    assert len(bench.requests) == 1
    assert bench.caller().ask(get("/members/1", key("new"))).status == 200


def test_key_revoked_while_the_body_arrives(bench: Bench) -> None:
    """A request accepted by its head is authenticated again once its body is complete."""
    caller = bench.caller()
    whole = post(b"body", key()).replace(b"/a", b"/members/1")
    caller.send(whole[:-2])
    served = bench.caller().ask(get("/members/0", key()))
    assert served.status == 200
    bench.view.fleet = fleet("new")
    caller.send(whole[-2:])
    assert caller.reply().status == 401
    assert [request.path for request in bench.requests] == ["/members/0"]


def test_no_key_is_needed_without_customers() -> None:
    """The `Authorization` header is forwarded like any other."""
    with opened(PLATFORM) as bench:
        assert bench.caller().ask(get("/members/1", key())).status == 200
        (request,) = bench.requests
        assert request.access is None
        assert "authorization" in names(request)


def test_unrouted_request_is_refused_by_routing() -> None:
    """So requests to a node without configuration or for an unknown path are refused by routing."""
    assert identify(Fleet.empty(), "shop", "/x", "GET", Credential("k")) is None
    access = identify(fleet(SECRET), "shop", "/x", "GET", Credential("k"))
    assert access is not None
    assert access.refusal is None


def test_key_is_never_logged(bench: Bench, capfd: Any, caplog: Any) -> None:
    """Neither for a response, a refusal, nor an internal error."""

    def fail(request: Request) -> Served:
        raise ValueError(repr(request))

    bench.caller().ask(get("/members/1", key()))
    bench.caller().ask(get("/members/1", key(SECRET + "x")))
    bench.serve = fail
    assert bench.caller().ask(get("/members/1", key())).status == 502
    out, err = capfd.readouterr()
    assert SECRET not in caplog.text + out + err
