"""Fingerprints identify requests for the same work: same host, method, path, caller and body.

They determine what a target does with a request. The caller's request id changes each time it sends
the request again, and so may the VM that receives it.
"""

import hashlib

DIGEST_BYTES = 8
"""Bytes of a fingerprint: two of a million requests share one by chance with a probability of
3 in 100 million."""


def fingerprint(host: str, method: str, path: str, caller: str, body: bytes) -> str:
    """Return the fingerprint of a request, in hexadecimal.

    Args:
        host: As sent by the caller; case is ignored.
        method: HTTP method.
        path: Path with query.
        caller: Name or credentials of the caller, empty if it gives none. Not its IP address, since
            the same caller may use any VM.
        body: Complete body.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (host.lower(), method, path, caller):
        raw = part.encode("utf-8", "surrogateescape")
        digest.update(len(raw).to_bytes(4))
        digest.update(raw)
    digest.update(body)
    return digest.hexdigest()
