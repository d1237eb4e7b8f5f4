"""Calls get the class, customer and retry mark of the request that made them, and of no other."""

import socket

import pytest
from hypothesis import given
from hypothesis import strategies as st

from roadpass import clock
from roadpass.access import Access
from roadpass.call_class import class_of_call
from roadpass.caller_connection import CallerConnection
from roadpass.customer import Customer
from roadpass.dispatch import Dispatcher
from roadpass.fleet import Fleet, Service
from roadpass.message import AdmissionCheck, Attempt, check
from roadpass.outcome import Answered
from roadpass.parent_requests import MATCH_LATE_S, MAX_ENDED, Parent, ParentRequests
from roadpass.request import Request
from roadpass.standing import CALL, FRESH
from roadpass.target import announced_timeout_s
from tests.fake_sidecar import FakeSidecar, dispatcher, request

CLASSES = [{"name": "urgent"}, {"name": "default"}, {"name": "batch"}]
SERVICE = Service.from_config("desk", {"floor_slots": 1, "classes": CLASSES})
LEFT_S = 8.0
"""Seconds for which the parents' responses are waited for."""


def attempt(name: str, **fields: object) -> Attempt:
    """Return an attempt of the default class."""
    values: dict[str, object] = {"traffic_class": "default", "customer": "library", **fields}
    return Attempt(
        id=name, target="t", route=str(values.pop("route", "read")), method="GET", path="/",
        headers=[], body=b"", remaining_ms=LEFT_S * 1000.0, caller="c", repeatable=True,
        retry=bool(values.pop("retry", False)), revision=1, slow_ms=0.0, **values,  # type: ignore[arg-type]
    )  # fmt: skip


def parents(**starts: float) -> ParentRequests:
    """Return records of one attempt of the default class for each start in clock seconds."""
    made = ParentRequests()
    made.enabled = True
    for name, at in starts.items():
        begin(made, at, attempt(name))
    return made


def begin(made: ParentRequests, at: float, one: Attempt, left_s: float = LEFT_S) -> None:
    """Record the start of an attempt."""
    told = at + announced_timeout_s(left_s)
    made.begin(at, one, SERVICE, deadline=at + left_s, told=told)


TOLD = 1.0 + announced_timeout_s(LEFT_S)
"""Deadline that the target of an attempt that starts at 1.0 is told."""


@pytest.mark.parametrize("late_s", [-0.002, 0.0, 0.02])
def test_call_ends_with_the_deadline_that_its_parents_target_was_told(late_s: float) -> None:
    """Compared with the attempt's own deadline, which is later, no call would be matched."""
    found = parents(a=1.0).find(1.5, TOLD + late_s)
    assert found == Parent("a", "read", "default", "library", repeat=False)


def test_hierarchical_id_names_the_parent_whatever_the_deadline() -> None:
    """Calls whose own time limit ends before their parent's were not matched by the deadline."""
    made = parents()
    begin(made, 1.0, attempt("a", request_id="9c41"))
    begin(made, 1.0, attempt("b", request_id="77d0", route="ask", retry=True))
    found = made.find(1.2, 1.7, "9c41.03")
    assert found == Parent("a", "read", "default", "library", repeat=False)
    assert made.find(1.2, 1.7, "0000.03") is None
    assert made.find(1.2, 1.7, "9c41") is None


@pytest.mark.parametrize(
    ("began", "deadline"),
    [(0.9, TOLD), (1.5, TOLD - 0.1), (1.5, TOLD + 2.0 * MATCH_LATE_S), (1.5, TOLD + 5.0)],
)
def test_other_requests_from_the_vm_have_no_parent(began: float, deadline: float) -> None:
    """A caller on the same VM comes from the same address; its class and quota must not change."""
    assert parents(a=1.0).find(began, deadline) is None


@given(st.floats(0.1, 30.0), st.floats(0.0, 0.05))
def test_second_request_of_the_parents_caller_is_no_call(left_s: float, after_s: float) -> None:
    """Both have the deadline of their caller, which must not look like that told to the target."""
    made = ParentRequests()
    made.enabled = True
    begin(made, 1.0, attempt("a"), left_s)
    assert made.find(1.0 + after_s, 1.0 + after_s + left_s) is None


def test_most_urgent_candidate_counts_and_any_retry_marks_the_call() -> None:
    """A call of an urgent request must not wait behind batch work, nor a retry go uncounted."""
    made = parents(a=1.0)
    begin(made, 1.001, attempt("b", traffic_class="urgent", customer="museum", route="ask"))
    begin(made, 1.002, attempt("c", traffic_class="batch", retry=True))
    assert made.find(1.5, TOLD + 0.004) == Parent(
        "b", "", "urgent", "museum", repeat=True, candidates=3
    )


def test_call_of_a_call_of_a_retry_is_marked() -> None:
    """Each service down the line would see a first arrival otherwise."""
    made = ParentRequests()
    made.enabled = True
    begin(made, 1.0, attempt("a", parent_repeat=True))
    found = made.find(1.5, TOLD)
    assert found is not None
    assert found.repeat


def test_target_without_a_response_may_still_make_calls() -> None:
    """Calls of a retry whose caller left would count as first arrivals."""
    made = parents(a=1.0, b=1.0)
    made.end(1.2, "a", answered=False)
    made.end(1.2, "b", answered=True)
    found = made.find(1.5, TOLD)
    assert found is not None
    assert (found.attempt, found.candidates) == ("a", 1)
    made.end(TOLD + 1.0, "unknown", answered=True)
    assert made.size == 0


def test_memory_is_bounded() -> None:
    """Attempts that hang one after the other must not use up the memory of a small VM."""
    made = parents()
    for number in range(3 * MAX_ENDED):
        begin(made, 1.0, attempt(str(number)))
        made.end(1.1, str(number), answered=False)
    assert made.size == MAX_ENDED


def test_nothing_is_recorded_while_switched_off() -> None:
    """Deployments that do not call for the part must behave as before."""
    made = ParentRequests()
    begin(made, 1.0, attempt("a"))
    assert made.size == 0
    assert made.find(1.5, TOLD) is None


def test_class_of_a_call_at_a_service_with_other_classes() -> None:
    """An unknown class counts as the least urgent, behind which an urgent parent would wait."""

    def service(*names: str) -> Service:
        classes = [{"name": name} for name in names]
        return Service.from_config("s", {"floor_slots": 1, "classes": classes})

    assert class_of_call(service("gold", "batch"), "gold") == "gold"
    assert class_of_call(service("gold", "batch"), "gold.read") == "gold"
    assert class_of_call(service("read", "batch"), "gold.read") == "read"
    assert class_of_call(service("gold.read", "gold.batch"), "gold") == "gold.read"
    assert class_of_call(service("default"), "gold") == ""


def test_marks_are_left_out_of_the_wire_form_unless_set() -> None:
    """Nodes without the parts must send the bytes that they sent before."""
    plain = attempt("vm/1/1")
    marked = plain._replace(parent_repeat=True, standing=CALL)
    for one in (plain, AdmissionCheck.of(plain)):
        assert not {"parent_repeat", "standing"} & one.to_message().keys()
    assert Attempt.from_message(check(marked.to_message())) == marked
    asked = AdmissionCheck.of(marked)
    read = AdmissionCheck.from_message(check(asked.to_message()))
    assert (read.parent_repeat, read.standing) == (True, CALL)


def stage(*, on: bool = True) -> tuple[Dispatcher, FakeSidecar]:
    """Return a dispatcher whose VM's target runs a retry of the class "urgent" since now."""
    sidecar = FakeSidecar([Answered(200, [], b"", 1.0)])
    one = dispatcher(sidecar, classes=CLASSES)
    value = one._view.fleet
    sharing = value.sharing._replace(parents=on)
    one._view.fleet = Fleet(
        value.services, value.targets, value.routes, (), revision=1, sharing=sharing
    )
    sidecar.parents.enabled = on
    begin(sidecar.parents, clock.now(), attempt("p/1/1", traffic_class="urgent", retry=True))
    return one, sidecar


def call(**fields: object) -> Request:
    """Return a request that the target makes now."""
    deadline = clock.now() + announced_timeout_s(LEFT_S)
    return request("GET", **{"deadline": deadline, "local": True, **fields})


def test_call_is_sent_with_its_parents_class_ahead_of_fresh_work() -> None:
    """Calls had the class of their own route, and were refused while their parent held a slot."""
    one, sidecar = stage()
    served = one.dispatch(call())
    (sent,) = sidecar.attempts
    assert (sent.traffic_class, sent.standing, sent.parent_repeat) == ("urgent", CALL, True)
    assert served.traffic_class == "urgent"


@pytest.mark.parametrize(("on", "fields"), [(False, {}), (True, {"local": False})])
def test_request_that_is_no_call_is_sent_as_before(on: bool, fields: dict[str, object]) -> None:
    """A matching deadline alone must not change a request from elsewhere."""
    one, sidecar = stage(on=on)
    one.dispatch(call(**fields))
    (sent,) = sidecar.attempts
    assert (sent.traffic_class, sent.standing) == ("batch", FRESH)
    assert not sent.parent_repeat


def test_parents_customer_is_not_charged_again() -> None:
    """A customer would use up its quota by calls that it did not make."""
    own, other = Customer("library", rate_per_s=1.0), Customer("museum", rate_per_s=1.0)
    parent = Parent("a", "read", "default", "library", repeat=False)
    assert request(access=Access(own)).charged == own
    assert request(access=Access(own), parent=parent).charged is None
    assert request(access=Access(other), parent=parent).charged == other
    assert request(parent=parent).charged is None


@pytest.mark.parametrize(("source", "local"), [("127.0.0.1", True), ("127.0.0.2", False)])
def test_connection_from_the_own_address_is_local(source: str, local: bool) -> None:
    """Requests of callers elsewhere must not be matched, nor calls missed."""
    with (
        socket.create_server(("127.0.0.1", 0)) as server,
        socket.create_connection(server.getsockname(), source_address=(source, 0)),
    ):
        sock, address = server.accept()
        with sock:
            connection = CallerConnection(sock, address[0], None)  # type: ignore[arg-type]
            assert connection._is_local is local
        assert not CallerConnection(sock, address[0], None)._is_local  # type: ignore[arg-type]
