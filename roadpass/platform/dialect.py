"""The platform's header names and HTTP conventions."""

from roadpass.dialect import Dialect

PLATFORM = Dialect(
    deadline="Deadline-Ms",
    request_id="Request-Id",
    caller_sets_id=True,
    echoes_id=True,
    expected_instance="Expected-Instance",
    instance="Instance-Id",
    origin_service="Caller-Service",
    not_run="Not-Executed",
    load="Instance-Load",
    limit="Server-Limit",
    leaving="Server-Leaving",
    warm_up="Warmup-Ms",
    ends_by_close=True,
    exact_retry_after=True,
    authorization="Authorization",
    scheme="Token",
    customer="Tenant-Id",
    own_prefix="",
)
