"""Which repeats one target may receive, by the limit of the fleet or by one of its own."""

from roadpass.fleet import Service
from roadpass.fleet_repeats import FleetRepeats
from roadpass.message import AdmissionCheck, Attempt
from roadpass.retry import RepeatAllowance

MAX_SHED_COST = 0.6
"""Cost of shedding that every request accepts, that of a target which sheds three of four requests.
If all targets of a service shed half of theirs, a lower limit refuses most probes, and for nothing,
since no target is better. Targets that shed nearly everything are still left to no request that
finds another."""


class TargetRepeats:
    """The repeats of one target; not thread-safe, the caller holds the target's lock.

    Arrivals are counted in the target's own allowance in any case, so that it is right from the
    moment at which `Sharing.fleet_repeats` is turned off.

    Args:
        service: Configuration of the target's service.
        fleet: Accounts of the sidecar.
    """

    def __init__(self, service: Service, fleet: FleetRepeats) -> None:
        self._service = service
        self._fleet = fleet
        self._allowance = RepeatAllowance(
            service.retry_ratio, slack=service.target_repeats, window_s=service.retry_window_s
        )

    def configure(self, service: Service) -> None:
        """Apply changed settings; repeats that arrived in the window still count."""
        self._service = service
        self._allowance.configure(
            service.retry_ratio, slack=service.target_repeats, window_s=service.retry_window_s
        )

    def admits(self, now: float, check: AdmissionCheck) -> bool:
        """Return whether an attempt may arrive now, as far as it is a repeat.

        Args:
            now: Clock seconds.
            check: The attempt.
        """
        if not self._fleet.on:
            return not check.repeat or self._allowance.has_repeat_left(now)
        if not (check.repeat or check.parent_repeat):
            return True
        return self._fleet.has_repeat_left(now, self._service.name, check.traffic_class)

    def most_shed_cost(self, most_bad: float) -> float:
        """Return the highest cost of shedding that a request accepts, relative to a lost request.

        A target that sheds is not failing. Where the sidecars lend each other repeats, a shed
        request can be repeated, so its limit of the failure risk is not that of shedding.

        Args:
            most_bad: Highest failure risk that it accepts.
        """
        return max(most_bad, MAX_SHED_COST) if self._fleet.on else most_bad

    def take(self, now: float, attempt: Attempt) -> bool:
        """Take the repeat of an attempt that starts now; return `False` if there is none.

        Args:
            now: Clock seconds.
            attempt: The attempt.
        """
        if not self._fleet.on or not (attempt.retry or attempt.parent_repeat):
            return True
        return self._fleet.take(now, self._service.name, attempt.traffic_class)

    def record_arrival(self, now: float, attempt: Attempt) -> None:
        """Count an attempt that arrives at the target.

        Args:
            now: Clock seconds.
            attempt: The attempt.
        """
        self._allowance.record_arrival(now, repeat=attempt.retry)
        if not self._fleet.on:
            return
        if not (attempt.retry or attempt.parent_repeat):
            self._fleet.record_first(now, self._service.name, attempt)
