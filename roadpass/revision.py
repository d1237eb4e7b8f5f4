"""Configuration revisions: their order, and the revision that a node holds."""

import hashlib
from collections.abc import Iterable, Mapping
from enum import Enum, auto
from typing import Any, NamedTuple

from fastjsonschema import JsonSchemaException

from roadpass import jsonc
from roadpass._generated.check_manifest import validate
from roadpass.errors import DocumentError, IncompleteError
from roadpass.fleet import Fleet

MAX_DOCUMENT_BYTES = 1024 * 1024
KEPT_DOCUMENTS_BYTES = 4 * 1024 * 1024
"""Limit on the total size of older documents, which are kept as the base of patches for peers."""


class Version(NamedTuple):
    """A revision number and the digest of its content; compares by number, then digest."""

    revision: int
    digest: str


NO_VERSION = Version(0, "")


class DocumentEntry(NamedTuple):
    """One document of a manifest."""

    name: str
    hash: str
    size: int


class Manifest(NamedTuple):
    """The documents of a revision, identified by their hashes."""

    revision: int
    documents: tuple[DocumentEntry, ...]

    @classmethod
    def from_text(cls, text: str) -> "Manifest":
        """Parse and check a manifest.

        Raises:
            DocumentError: It is not valid.
        """
        value, problems = jsonc.parse(text)
        if not problems:
            problems = _problems(value)
        if problems:
            raise DocumentError("manifest", problems)
        return cls.from_value(value)

    @classmethod
    def from_value(cls, value: Any) -> "Manifest":
        """Build a manifest from its validated JSON value."""
        entries = (DocumentEntry(d["name"], d["hash"], d["size"]) for d in value["documents"])
        return cls(value["revision"], tuple(sorted(entries)))

    @property
    def version(self) -> Version:
        """The version, which is the same on every node for the same content."""
        content = "\n".join(f"{d.name} {d.hash}" for d in self.documents)
        digest = hashlib.sha256(f"{self.revision}\n{content}".encode()).hexdigest()
        return Version(self.revision, digest)

    def to_value(self) -> dict[str, Any]:
        """Return the JSON value that `from_value` reads."""
        return {
            "revision": self.revision,
            "documents": [entry._asdict() for entry in self.documents],
        }


class Order(Enum):
    """How an offered version compares to the one in force."""

    NEWER = auto()
    SAME = auto()
    OLDER = auto()
    CONFLICT_WINS = auto()
    CONFLICT_LOSES = auto()


def compare(current: Version, offered: Version) -> Order:
    """Compare versions; of two contents with one number, the larger digest wins on every node."""
    if offered.revision > current.revision:
        return Order.NEWER
    if offered.revision < current.revision:
        return Order.OLDER
    if offered.digest == current.digest:
        return Order.SAME
    return Order.CONFLICT_WINS if offered.digest > current.digest else Order.CONFLICT_LOSES


class HeldRevision(NamedTuple):
    """The revision in force on a node, with its documents; immutable, so any thread may read it."""

    version: Version
    manifest: Manifest | None
    documents: Mapping[str, bytes]
    older: Mapping[str, bytes]

    @classmethod
    def empty(cls) -> "HeldRevision":
        """Return the value of a new node, which has no revision."""
        return cls(NO_VERSION, None, {}, {})

    def missing(self, manifest: Manifest) -> list[DocumentEntry]:
        """Return the documents of a manifest that this node lacks."""
        return [entry for entry in manifest.documents if self.find(entry.hash) is None]

    def find(self, digest: str) -> bytes | None:
        """Return a document by its hash, `None` if this node lacks it."""
        return self.documents.get(digest) or self.older.get(digest)

    def advance(self, manifest: Manifest, fetched: Iterable[bytes]) -> tuple["HeldRevision", Fleet]:
        """Return the state after accepting a complete and valid revision, and its fleet.

        Args:
            manifest: Of the revision.
            fetched: The documents that this node lacked, in any order.

        Raises:
            IncompleteError: A document is missing or does not match its hash.
            DocumentError: A document is not valid.
        """
        by_hash = {hashlib.sha256(content).hexdigest(): content for content in fetched}
        documents: dict[str, bytes] = {}
        texts: list[tuple[str, str]] = []
        for entry in manifest.documents:
            content = by_hash.get(entry.hash) or self.find(entry.hash)
            if content is None:
                raise IncompleteError(entry.name, ["is missing or does not match its hash"])
            if len(content) > MAX_DOCUMENT_BYTES or len(content) != entry.size:
                raise DocumentError(entry.name, [f"has {len(content)} bytes, not {entry.size}"])
            documents[entry.hash] = content
            texts.append((entry.name, _decode(entry.name, content)))
        version = manifest.version
        fleet = Fleet.from_documents(texts, revision=version.revision, digest=version.digest)
        return HeldRevision(version, manifest, documents, self._kept(documents)), fleet

    def _kept(self, documents: Mapping[str, bytes]) -> dict[str, bytes]:
        kept: dict[str, bytes] = {}
        size = 0
        for digest, content in [*self.documents.items(), *self.older.items()]:
            if digest in documents or digest in kept:
                continue
            size += len(content)
            if size > KEPT_DOCUMENTS_BYTES:
                break
            kept[digest] = content
        return kept


def _decode(name: str, content: bytes) -> str:
    try:
        return content.decode("utf-8")
    except UnicodeDecodeError as error:
        raise DocumentError(name, [f"is not UTF-8: {error}"]) from error


def _problems(value: Any) -> list[str]:
    try:
        validate(value)
    except JsonSchemaException as error:
        return jsonc.explain("manifest", value) or [str(error)]
    return []
