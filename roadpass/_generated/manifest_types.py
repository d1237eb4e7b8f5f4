from typing import Required, TypedDict


class Manifest(TypedDict, total=False):
    r"""
    manifest.

    What the platform publishes for one revision.
    """

    revision: Required[int]
    r"""
    minimum: 1

    Required property
    """

    documents: Required[list["_ManifestDocumentsItem"]]
    r"""
    minItems: 1

    Required property
    """



class _ManifestDocumentsItem(TypedDict, total=False):
    name: Required[str]
    r"""
    pattern: ^[A-Za-z0-9._-]+$

    Required property
    """

    hash: Required[str]
    r"""
    pattern: ^[0-9a-f]{64}$

    Required property
    """

    size: Required[int]
    r"""
    minimum: 0
    maximum: 1048576

    Required property
    """

