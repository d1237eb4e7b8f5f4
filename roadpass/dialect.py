"""Header names that a node uses with callers and targets."""

from typing import NamedTuple


class Dialect(NamedTuple):
    """Header names used with callers and targets; a header with an empty name is not used.

    Args:
        deadline: Remaining milliseconds, read from callers and sent to targets.
        request_id: Id of a request, sent to targets and read from their responses.
        caller_sets_id: Whether callers send the id, which is then forwarded unchanged; otherwise
            the attempt's id is sent.
        echoes_id: Whether a target must return the id; a response without it is treated
            as one to another request.
        expected_instance: Incarnation of the target that the request is meant for.
        instance: Incarnation of the target that responded.
        origin_service: Service of the VM at which a request originated.
        not_run: Marks a target's response as "request not run".
        load: A target's running and waiting requests and its slots, separated by commas.
        limit: Requests a second that a target accepts from the whole fleet.
        warm_up: Milliseconds for which a target is still cold.
        leaving: Marks the responses of a target that is shutting down.
        ends_by_close: Whether a response without a length is complete once its connection is closed
            cleanly.
        exact_retry_after: Whether `Retry-After` may have fractions of a second.
        authorization: A caller's key, preceded by `scheme`.
        customer: Customer whose key the caller sent, passed on to the target.
        own_prefix: Lower-case prefix of the fleet's own headers, which are not forwarded.
    """

    deadline: str = "Roadpass-Deadline-Ms"
    request_id: str = "Roadpass-Request-Id"
    caller_sets_id: bool = False
    echoes_id: bool = False
    expected_instance: str = ""
    instance: str = ""
    origin_service: str = ""
    not_run: str = ""
    load: str = ""
    limit: str = ""
    leaving: str = ""
    warm_up: str = ""
    ends_by_close: bool = False
    exact_retry_after: bool = False
    authorization: str = "Authorization"
    scheme: str = "Bearer"
    customer: str = "Roadpass-Customer"
    own_prefix: str = "roadpass-"


OWN = Dialect()
"""The default header names of roadpass."""
