"""Customers and their keys: whose a key is, without ever holding a key as text.

A key is turned into a keyed digest where it is read, and only digests are held, compared and told
to other nodes. `Credential` is what a request shows: it holds a key for as long as the request is
looked at, and shows it to nobody, not in its `repr` either.
"""

import hashlib
import math
import re
import secrets
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from roadpass.errors import CustomerError
from roadpass.outcome import Headers

DIGEST_BYTES = 16
"""Bytes of a key's digest: nobody finds a second key for one, and each is held by every node."""
SALT_BYTES = 16
MAX_KEY_CHARS = 512
"""Characters of a key; a longer one is nobody's, and costs nothing to refuse."""
_NAME = re.compile(r"[!-~]{1,200}")
"""What may name a customer: it goes into a header of each of its requests, so no line ends."""
_KEY = re.compile(rf"[!-~]{{1,{MAX_KEY_CHARS}}}")
_RATE_MAX = 1e9
"""Requests a second, or at once, that no limit reaches; beyond, a figure is a mistake."""


class Customer(NamedTuple):
    """A customer, as the operators publish it.

    Args:
        traffic_class: Of its requests, `None` where the routes' counts.
        rate_per_s: Requests a second that it may send over the whole fleet, 0 for no limit.
        burst: Requests that it may send at once on top of that.
    """

    name: str
    traffic_class: str | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


class Credential:
    """The key that a request shows, if it shows one as the dialect wants it.

    Args:
        key: Empty for none, or none that could be a key.
        shown: Whether the request has shown anything at all.
    """

    __slots__ = ("_key", "shown")

    def __init__(self, key: str = "", *, shown: bool = False) -> None:
        self._key = key
        self.shown = shown

    @classmethod
    def from_headers(cls, headers: Headers, name: str, scheme: str) -> "Credential":
        """Return what headers show; a header given twice, or of another form, shows no key.

        Args:
            headers: Of a request.
            name: Of the header.
            scheme: The word before the key.
        """
        wanted = name.lower()
        values = [value for given, value in headers if given.lower() == wanted]
        if len(values) != 1:
            return cls(shown=bool(values))
        word, _, key = values[0].strip(" \t").partition(" ")
        key = key.strip(" ")
        fits = word.lower() == scheme.lower() and may_be_key(key)
        return cls(key if fits else "", shown=True)

    def __repr__(self) -> str:
        return f"Credential(shown={self.shown})"

    def digest(self, salt: bytes) -> bytes:
        """Return the key's digest, empty without a key."""
        return key_digest(self._key, salt) if self._key else b""


class Customers:
    """The customers of one configuration; immutable once built.

    Args:
        salt: Under which the digests were made.
        customers: With the digests of their keys.

    Raises:
        CustomerError: A customer is there twice, two share a key, or one makes no sense.
    """

    def __init__(
        self, salt: bytes = b"", customers: Iterable[tuple[Customer, tuple[bytes, ...]]] = ()
    ) -> None:
        self.salt = salt
        self._by_name: dict[str, Customer] = {}
        self._digests: dict[str, tuple[bytes, ...]] = {}
        self._by_digest: dict[bytes, Customer] = {}
        for customer, digests in customers:
            self._add(customer, digests)
        if not self._by_name:  # it says nothing then, and no two empty ones differ
            self.salt = b""

    def __bool__(self) -> bool:
        return bool(self._by_name)

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, Customers):
            return NotImplemented
        return (self.salt, self._by_name, self._digests) == (
            other.salt,
            other._by_name,
            other._digests,
        )

    __hash__ = None  # type: ignore[assignment]  # compared by content, and never a key of a table

    def __repr__(self) -> str:
        return f"Customers({len(self._by_name)} customers, {len(self._by_digest)} keys)"

    @property
    def by_name(self) -> Mapping[str, Customer]:
        """The customers."""
        return self._by_name

    @property
    def traffic_classes(self) -> set[str]:
        """The classes that customers name."""
        return {one.traffic_class for one in self._by_name.values() if one.traffic_class}

    def keys_of(self, name: str) -> frozenset[bytes]:
        """Return the digests of a customer's keys."""
        return frozenset(self._digests.get(name, ()))

    def find(self, credential: Credential) -> Customer | None:
        """Return whose key a request shows, `None` if nobody's."""
        return self._by_digest.get(credential.digest(self.salt))

    @classmethod
    def from_keys(cls, customers: Iterable[tuple[Customer, tuple[str, ...]]]) -> "Customers":
        """Build from keys as text, under a fresh salt.

        Raises:
            CustomerError: As for the class, or a key is none that a request could show.
        """
        salt = secrets.token_bytes(SALT_BYTES)
        rows = []
        for customer, keys in customers:
            if not all(map(may_be_key, keys)):
                raise CustomerError(f"Customer '{customer.name}' has a key nobody could show.")
            rows.append((customer, tuple(key_digest(key, salt) for key in keys)))
        return cls(salt, rows)

    @classmethod
    def from_config(cls, salt: str, value: Mapping[str, Any]) -> "Customers":
        """Build from the checked written form of documents.

        Args:
            salt: In hexadecimal.
            value: By name.

        Raises:
            CustomerError: As for the class, or there are digests without a salt.
        """
        if not salt and any(one.get("key_digests") for one in value.values()):
            raise CustomerError("There are digests of keys, and no 'customer_salt'.")
        return cls(
            bytes.fromhex(salt),
            (
                (
                    Customer(
                        name, one.get("class"), one.get("rate_per_s", 0.0), one.get("burst", 0.0)
                    ),
                    tuple(map(bytes.fromhex, one.get("key_digests", ()))),
                )
                for name, one in value.items()
            ),
        )

    @classmethod
    def from_rows(cls, salt: bytes, rows: Iterable[Any]) -> "Customers":
        """Build from the form in which nodes tell each other.

        Raises:
            CustomerError: It makes no sense.
        """
        try:
            read = [(Customer(*row[:4]), tuple(map(bytes, row[4]))) for row in rows]
        except (TypeError, ValueError, IndexError) as error:
            raise CustomerError(f"The customers cannot be read: {error!r}.") from error
        return cls(salt, read)

    def rows(self) -> list[list[Any]]:
        """Return the form in which nodes tell each other."""
        return [[*one, list(self._digests[name])] for name, one in self._by_name.items()]

    def _add(self, customer: Customer, digests: tuple[bytes, ...]) -> None:
        _check(customer)
        if customer.name in self._by_name:
            raise CustomerError(f"Customer '{customer.name}' is there twice.")
        self._by_name[customer.name] = customer
        self._digests[customer.name] = digests
        for digest in digests:
            owner = self._by_digest.setdefault(digest, customer)
            if owner is not customer:
                raise CustomerError(f"'{owner.name}' and '{customer.name}' share a key.")


def may_be_key(text: str) -> bool:
    """Tell whether a request could show a text as its key."""
    return _KEY.fullmatch(text) is not None


def key_digest(key: str, salt: bytes) -> bytes:
    """Return the digest under which a key is held and told."""
    return hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES, key=salt).digest()


def _check(customer: Customer) -> None:
    if not isinstance(customer.name, str) or not _NAME.fullmatch(customer.name):
        raise CustomerError("A customer has a name that no header could carry.")
    for what, value in (("rate", customer.rate_per_s), ("burst", customer.burst)):
        if not (math.isfinite(value) and 0.0 <= value <= _RATE_MAX):
            raise CustomerError(f"Customer '{customer.name}' has a {what} of {value}.")
