"""Revisions: only complete, valid and newer ones are accepted. Patches between peers."""

import hashlib
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from roadpass.audit import AuditTrail, Kind
from roadpass.configuration import Configuration, RevisionOffer, Store
from roadpass.errors import DocumentError
from roadpass.fleet import Fleet
from roadpass.message import Message
from roadpass.patch import apply_patch, build_revision_reply, make_patch, read_revision_reply
from roadpass.revision import DocumentEntry, HeldRevision, Manifest


def document(size: int = 3, mark: str = "") -> bytes:
    """Return a valid document."""
    services = {f"s{n}": {"floor_slots": 0} for n in range(size)}
    return f"// {mark}\n{json.dumps({'services': services}, indent=1)}".encode()


def manifest(revision: int, *contents: bytes) -> Manifest:
    """Return a manifest of the given contents."""
    entries = (
        DocumentEntry(f"d{n}", hashlib.sha256(c).hexdigest(), len(c))
        for n, c in enumerate(contents)
    )
    return Manifest(revision, tuple(entries))


BAD = b'{"services": 7}'


@given(
    st.lists(
        st.tuples(st.integers(1, 6), st.sampled_from(["x", "y", "bad"]), st.booleans()),
        max_size=20,
    )
)
def test_revision_in_force_never_goes_down(offers: list[tuple[int, str, bool]]) -> None:
    """Revisions are offered in any order, some with missing or invalid documents."""
    offers = [*offers, (7, "x", True)]
    store, trail, seen = Store(), AuditTrail(), []
    actor = Configuration(store, trail, lambda fleet: seen.append(fleet))
    for revision, mark, complete in offers:
        content = BAD if mark == "bad" else document(mark=mark)
        before = store.held.version
        documents = (content,) if complete else ()
        actor.handle(RevisionOffer(manifest(revision, content), documents, "test"))
        assert store.held.version >= before
    assert [fleet.revision for fleet in seen] == sorted(fleet.revision for fleet in seen)
    assert seen[-1].revision == 7


def test_an_incomplete_revision_is_accepted_once_it_is_complete() -> None:
    """A document that was missing or damaged at first does not cause a lasting refusal."""
    store, trail = Store(), AuditTrail()
    actor = Configuration(store, trail, lambda fleet: None)
    content = document()
    for documents in ((), (content + b" ",), (content,)):
        actor.handle(RevisionOffer(manifest(3, content), documents, "test"))
    assert store.held.version.revision == 3
    refused = [event for event in trail.since() if event.kind is Kind.REVISION_REFUSED]
    assert len(refused) == 1


@given(st.permutations(["x", "y", "z"]))
def test_conflicting_contents_converge_in_any_order(order: list[str]) -> None:
    """Of several contents with one number the hash decides, and the conflict is audited."""
    store, trail = Store(), AuditTrail()
    actor = Configuration(store, trail, lambda fleet: None)
    contents = {mark: document(mark=mark) for mark in order}
    for mark in order:
        actor.handle(RevisionOffer(manifest(5, contents[mark]), (contents[mark],), "test"))
    winner = max(manifest(5, content).version for content in contents.values())
    assert store.held.version == winner
    assert any(event.kind is Kind.REVISION_CONFLICT for event in trail.since())


def test_wrong_hash_and_wrong_size_are_refused() -> None:
    """Documents must match the hash and the size in the manifest."""
    content = document()
    with pytest.raises(DocumentError, match="does not match its hash"):
        HeldRevision.empty().advance(manifest(1, content), [content + b" "])
    entry = DocumentEntry("d", hashlib.sha256(content).hexdigest(), 7)
    with pytest.raises(DocumentError, match="bytes, not 7"):
        HeldRevision.empty().advance(Manifest(1, (entry,)), [content])


def test_peer_gets_a_patch_and_ends_with_the_same_content() -> None:
    """A small change of a large document is sent in few bytes."""
    old, new = document(3000, "old"), document(3000, "new")
    peer, _ = HeldRevision.empty().advance(manifest(1, old), [old])
    server, _ = peer.advance(manifest(2, new), [new])
    have = {e.name: e.hash for e in peer.manifest.documents} if peer.manifest else {}
    message: Message = build_revision_reply(server, have)
    assert len(message["documents"][0]["data"]) < len(new) / 50
    got, contents = read_revision_reply(peer, message)
    held, fleet = peer.advance(got, contents)
    assert held.version == server.version
    assert isinstance(fleet, Fleet)


@given(st.binary(max_size=200), st.binary(max_size=200), st.integers(0, 300))
def test_broken_patch_is_a_clear_error_or_the_content(old: bytes, new: bytes, at: int) -> None:
    """The hash check in `read_revision_reply` lets no wrong content pass after a flipped byte."""
    patch = bytearray(make_patch(old, new))
    assert apply_patch(old, bytes(patch)) == new
    patch[at % len(patch)] ^= 0x40
    message = {
        "t": "revision",
        "manifest": manifest(1, new).to_value(),
        "documents": [
            {"hash": hashlib.sha256(new).hexdigest(), "form": "whole", "data": bytes(patch)}
        ],
    }
    try:
        _, contents = read_revision_reply(HeldRevision.empty(), message)
    except DocumentError:
        return
    assert contents == [new]
