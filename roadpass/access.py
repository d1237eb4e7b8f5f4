"""Authentication of requests: the customer of a key, and whether the route requires one."""

from typing import NamedTuple

from roadpass.customer import Credential, Customer
from roadpass.fleet import Fleet
from roadpass.outcome import NotRun, Reason


class Access(NamedTuple):
    """Result of the authentication of a request.

    Args:
        customer: Customer of the key, `None` without a known key.
        refusal: Why the request is rejected, `None` if it is accepted.
    """

    customer: Customer | None = None
    refusal: NotRun | None = None


def identify(
    fleet: Fleet, host: str, path: str, method: str, credential: Credential
) -> Access | None:
    """Identify the customer of a request, and check whether its route admits it.

    A request that matches no route is not refused here, but later when it is routed.

    Args:
        fleet: Fleet in force.
        host: Host name of the request.
        path: Path, with or without query.
        method: HTTP method in capitals.
        credential: Credential of the request.

    Returns:
        `None` if the fleet has no customers, in which case no keys are required or checked.
    """
    if not fleet.customers:
        return None
    customer = fleet.customers.find(credential)
    if customer is not None:
        return Access(customer)
    route = fleet.find_route(host, path, method)
    if route is None or route.public:
        return Access()
    return Access(refusal=NotRun(Reason.UNAUTHENTICATED))
