"""Audit of a source's items that make no sense: once each, until that changes."""

from collections.abc import Iterable

from roadpass.audit import AuditTrail, Kind
from roadpass.source import Change, InvalidItem, TargetPublished, TargetWithdrawn


class InvalidItemAudit:
    """The items that are left out, by target or key.

    Args:
        audit: The audit trail.
    """

    def __init__(self, audit: AuditTrail) -> None:
        self._audit = audit
        self._reasons: dict[str, str] = {}

    def report(
        self, changes: Iterable[Change], invalid: Iterable[InvalidItem], *, full: bool
    ) -> None:
        """Record each item that was not known to make no sense for this reason.

        Args:
            changes: What the source told.
            invalid: Of that, what cannot be used.
            full: Whether the source named all it has.
        """
        known = self._reasons
        if full:
            self._reasons = {}
        for change in changes:
            match change:
                case TargetPublished(entry=entry):
                    self._reasons.pop(entry.instance, None)
                case TargetWithdrawn(instance=instance):
                    self._reasons.pop(instance, None)
                case _:
                    pass
        for item in invalid:
            name = item.instance or item.key
            if known.get(name) != item.why:
                self._audit.record(Kind.REVISION_REFUSED, item.key, item.why)
            self._reasons[name] = item.why
