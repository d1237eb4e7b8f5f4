"""Fingerprints are equal for the same work, and only then."""

import pytest

from roadpass.fingerprint import DIGEST_BYTES, fingerprint

WORK = ("h.example", "POST", "/a/1?x=2", "customer-1", b"body")


def test_the_same_work_has_one_fingerprint() -> None:
    """The case of the host does not matter."""
    assert fingerprint(*WORK) == fingerprint("H.Example", *WORK[1:])
    assert len(fingerprint(*WORK)) == 2 * DIGEST_BYTES


@pytest.mark.parametrize(
    "other",
    [
        ("g.example", *WORK[1:]),
        (WORK[0], "PUT", *WORK[2:]),
        (*WORK[:2], "/a/1?x=3", *WORK[3:]),
        (*WORK[:3], "customer-2", WORK[4]),
        (*WORK[:4], b"bodz"),
        (*WORK[:3], "customer-1b", b"ody"),
        ("h.example", "POST", "/a/1?x=2customer-1", "", b"body"),
    ],
)
def test_other_work_has_another_fingerprint(other: tuple[str, str, str, str, bytes]) -> None:
    """Even if the concatenation of the parts is the same."""
    assert fingerprint(*other) != fingerprint(*WORK)


def test_invalid_text_has_a_fingerprint() -> None:
    """Request heads are decoded byte by byte, so they may contain any character."""
    assert fingerprint("h", "GET", "/\udcff\xff", "", b"\x00")
