"""Audit of invalid items in a source: one record per item and reason."""

from collections.abc import Iterable

from roadpass.audit import AuditTrail, Kind
from roadpass.source import Change, InvalidItem, TargetPublished, TargetWithdrawn


class InvalidItemAudit:
    """Records ignored items, identified by target or key; repeated reads of one are not recorded.

    Args:
        audit: The audit trail.
    """

    def __init__(self, audit: AuditTrail) -> None:
        self._audit = audit
        self._reasons: dict[str, str] = {}

    def report(
        self, changes: Iterable[Change], invalid: Iterable[InvalidItem], *, full: bool
    ) -> None:
        """Record each item that was not already known to be invalid for the same reason.

        Args:
            changes: The update.
            invalid: The invalid items in it.
            full: Whether the update is a full snapshot, so that items missing in it are gone.
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
