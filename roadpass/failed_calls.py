"""Failed requests at the ingress of a node that the target on the same VM may have sent.

A target calls other services through the node on its VM, and often fails a request because such a
call failed. This failure must not count against the target. Calls look like any other request, but
a call made for a request starts after it, has no later deadline, and fails just before it.
"""

from collections import deque
from typing import NamedTuple

from roadpass.outcome import SERVER_ERROR, Answered, Outcome

JUST_BEFORE_S = 0.05
"""Maximum seconds from the failure of a call to that of the request that made it. The answer
travels within one VM and the target does some work, which takes milliseconds, or longer on a busy
VM."""
DEADLINE_SLACK_S = 0.02
"""Seconds by which the deadline of a call may appear later than that of its request: each is sent
as the milliseconds left, and read at a different moment."""
MAX_FAILURES = 64
"""Failures that are remembered; more than this within `JUST_BEFORE_S` at one node is a flood."""


class _FailedRequest(NamedTuple):
    began: float
    ended: float
    deadline: float


class CallLog:
    """The latest failed requests of one ingress; thread-safe."""

    def __init__(self) -> None:
        self._failures: deque[_FailedRequest] = deque(maxlen=MAX_FAILURES)

    def record(self, began: float, ended: float, deadline: float, outcome: Outcome) -> None:
        """Record a request at the ingress if it failed; all times in clock seconds."""
        match outcome:
            case Answered(status=status) if status < SERVER_ERROR:
                return
            case _:
                self._failures.append(_FailedRequest(began, ended, deadline))

    def explains(self, began: float, ended: float, deadline: float) -> bool:
        """Return whether a request may have failed because a call that it made failed.

        Args:
            began: When the target received the request, in clock seconds.
            ended: When the request failed, in clock seconds.
            deadline: Deadline of the request, in clock seconds.
        """
        return any(
            call.began >= began
            and ended - JUST_BEFORE_S <= call.ended <= ended
            and call.deadline <= deadline + DEADLINE_SLACK_S
            for call in self._failures.copy()
        )
