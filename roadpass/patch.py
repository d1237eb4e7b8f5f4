"""Transfer of documents between peers, in full or as a patch against one that the peer holds."""

import hashlib

import zstandard

from roadpass.errors import DocumentError
from roadpass.message import Message
from roadpass.revision import MAX_DOCUMENT_BYTES, DocumentEntry, HeldRevision, Manifest

WHOLE = "whole"
PATCH = "patch"


def make_patch(base: bytes, content: bytes) -> bytes:
    """Compress content with the base as dictionary, so that unchanged parts take few bytes."""
    dictionary = zstandard.ZstdCompressionDict(base, dict_type=zstandard.DICT_TYPE_RAWCONTENT)
    parameters = zstandard.ZstdCompressionParameters.from_level(
        3, source_size=len(content), dict_size=len(base), window_log=21
    )
    compressor = zstandard.ZstdCompressor(dict_data=dictionary, compression_params=parameters)
    return compressor.compress(content)


def apply_patch(base: bytes, patch: bytes) -> bytes:
    """Return the content from which `make_patch` made a patch against the base.

    Raises:
        DocumentError: The patch does not fit the base.
    """
    dictionary = zstandard.ZstdCompressionDict(base, dict_type=zstandard.DICT_TYPE_RAWCONTENT)
    return _decompress(zstandard.ZstdDecompressor(dict_data=dictionary), patch)


def build_revision_reply(held: HeldRevision, have: dict[str, str]) -> Message:
    """Build the reply to a peer's pull request.

    Args:
        held: This node's revision; without one, the reply has an empty manifest.
        have: The hashes of the peer's documents by name.
    """
    manifest = held.manifest
    if manifest is None:
        return {"t": "revision", "manifest": {}, "documents": []}
    documents = []
    for entry in manifest.documents:
        if have.get(entry.name) != entry.hash:
            documents.append(_document(held, entry, have.get(entry.name)))
    return {"t": "revision", "manifest": manifest.to_value(), "documents": documents}


def read_revision_reply(held: HeldRevision, message: Message) -> tuple[Manifest, list[bytes]]:
    """Unpack a peer's reply to a pull request.

    Raises:
        DocumentError: The reply is not usable. If a patch failed, the caller should request the
            full documents.
    """
    try:
        manifest = Manifest.from_value(message["manifest"])
    except (KeyError, TypeError) as error:
        raise DocumentError("manifest", ["the peer has none"]) from error
    return manifest, [_content(held, entry) for entry in message["documents"]]


def _document(held: HeldRevision, entry: DocumentEntry, peer_hash: str | None) -> Message:
    content = held.documents[entry.hash]
    base = held.find(peer_hash) if peer_hash else None
    if base is None:
        data = zstandard.ZstdCompressor().compress(content)
        return {"hash": entry.hash, "form": WHOLE, "data": data}
    data = make_patch(base, content)
    return {"hash": entry.hash, "form": PATCH, "base": peer_hash, "data": data}


def _content(held: HeldRevision, document: Message) -> bytes:
    data = document["data"]
    if not isinstance(data, bytes):
        raise DocumentError(document["hash"], ["is not bytes"])
    if document["form"] == WHOLE:
        content = _decompress(zstandard.ZstdDecompressor(), data)
    else:
        base = held.find(document.get("base", ""))
        if base is None:
            raise DocumentError(document["hash"], ["is a patch against an unknown document"])
        content = apply_patch(base, data)
    if hashlib.sha256(content).hexdigest() != document["hash"]:
        raise DocumentError(document["hash"], ["does not match its hash"])
    return content


def _decompress(decompressor: zstandard.ZstdDecompressor, data: bytes) -> bytes:
    try:
        size = zstandard.frame_content_size(data)
        if not 0 <= size <= MAX_DOCUMENT_BYTES:
            raise DocumentError("document", [f"has an invalid decompressed size: {size} bytes"])
        return decompressor.decompress(data, max_output_size=MAX_DOCUMENT_BYTES)
    except zstandard.ZstdError as error:
        raise DocumentError("document", [f"cannot be decompressed: {error}"]) from error
