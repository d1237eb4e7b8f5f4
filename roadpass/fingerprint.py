"""What makes two requests the same work: method, host, path, named caller and body.

A caller's ids differ from one coming to the next, and so does the VM that it comes to; what a
target does with a request follows from these.
"""

import hashlib

DIGEST_BYTES = 8
"""Bytes of a fingerprint: two of a million requests share one by chance with a probability of
3 in 100 million."""


def fingerprint(host: str, method: str, path: str, caller: str, body: bytes) -> str:
    """Return the fingerprint of a request, in hexadecimal.

    Args:
        host: As the caller named it.
        method: HTTP method.
        path: Path with query.
        caller: How the caller names or proves itself, empty if it does not; not its IP number, as
            the same caller comes to any VM.
        body: Whole body.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (host.lower(), method, path, caller):
        raw = part.encode("utf-8", "surrogateescape")
        digest.update(len(raw).to_bytes(4))
        digest.update(raw)
    digest.update(body)
    return digest.hexdigest()
