"""Customers and their API keys: finds the customer of a key without storing keys as text.

A key is converted to a keyed digest where it is read, and only digests are stored, compared and
sent to other nodes. `Credential` holds the key of a request while the request is authenticated, and
never exposes it, not even in its `repr`.
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
"""Bytes of a key's digest: long enough that no second key for a digest can be found, and short as
every node stores all of them."""
SALT_BYTES = 16
MAX_KEY_CHARS = 512
"""Maximum characters of a key; longer ones are rejected without computing a digest."""
_NAME = re.compile(r"[!-~]{1,200}")
"""Allowed customer names. The name is sent in a header of each request, so no line breaks."""
_KEY = re.compile(rf"[!-~]{{1,{MAX_KEY_CHARS}}}")
_RATE_MAX = 1e9
"""Upper bound of valid rates and bursts, far above any real limit; a higher value is a mistake."""


class Customer(NamedTuple):
    """A customer, as published by the operators.

    Args:
        traffic_class: Traffic class of its requests, `None` to use that of the route.
        rate_per_s: Requests a second that it may send over the whole fleet, 0 for no limit.
        burst: Requests that it may send in addition, in a burst.
    """

    name: str
    traffic_class: str | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


class Credential:
    """The key that a request presents, if its header has the form of the dialect.

    Args:
        key: Empty if there is none, or the header value cannot be a key.
        shown: Whether the request has the header at all.
    """

    __slots__ = ("_key", "shown")

    def __init__(self, key: str = "", *, shown: bool = False) -> None:
        self._key = key
        self.shown = shown

    @classmethod
    def from_headers(cls, headers: Headers, name: str, scheme: str) -> "Credential":
        """Read the credential; a repeated or malformed header counts as one without a key.

        Args:
            headers: Headers of a request.
            name: Name of the header with the key.
            scheme: Authentication scheme before the key, compared without case.
        """
        wanted = name.lower()
        values = [value for given, value in headers if given.lower() == wanted]
        if len(values) != 1:
            return cls(shown=bool(values))
        given_scheme, _, key = values[0].strip(" \t").partition(" ")
        key = key.strip(" ")
        fits = given_scheme.lower() == scheme.lower() and may_be_key(key)
        return cls(key if fits else "", shown=True)

    def __repr__(self) -> str:
        return f"Credential(shown={self.shown})"

    def digest(self, salt: bytes) -> bytes:
        """Return the key's digest, empty without a key."""
        return key_digest(self._key, salt) if self._key else b""


class Customers:
    """The customers of one configuration; immutable.

    Args:
        salt: Key of the keyed digests.
        customers: Customers with the digests of their keys.

    Raises:
        CustomerError: A customer is defined twice, two share a key, or one has an invalid name,
            rate or burst.
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
        if not self._by_name:  # without digests the salt is unused, and empty sets compare equal
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

    __hash__ = None  # type: ignore[assignment]  # compared by content, never a dict key

    def __repr__(self) -> str:
        return f"Customers({len(self._by_name)} customers, {len(self._by_digest)} keys)"

    @property
    def by_name(self) -> Mapping[str, Customer]:
        """The customers by name."""
        return self._by_name

    @property
    def traffic_classes(self) -> set[str]:
        """The traffic classes set by customers."""
        return {one.traffic_class for one in self._by_name.values() if one.traffic_class}

    def keys_of(self, name: str) -> frozenset[bytes]:
        """Return the digests of a customer's keys."""
        return frozenset(self._digests.get(name, ()))

    def find(self, credential: Credential) -> Customer | None:
        """Return the customer of a credential, `None` if it has no known key."""
        return self._by_digest.get(credential.digest(self.salt))

    @classmethod
    def from_keys(cls, customers: Iterable[tuple[Customer, tuple[str, ...]]]) -> "Customers":
        """Build from keys as text, with a new random salt.

        Raises:
            CustomerError: As for the class, or a key could not be sent in a request.
        """
        salt = secrets.token_bytes(SALT_BYTES)
        rows = []
        for customer, keys in customers:
            if not all(map(may_be_key, keys)):
                raise CustomerError(
                    f"Customer '{customer.name}' has a key that no request can carry."
                )
            rows.append((customer, tuple(key_digest(key, salt) for key in keys)))
        return cls(salt, rows)

    @classmethod
    def from_config(cls, salt: str, value: Mapping[str, Any]) -> "Customers":
        """Build from the validated customer section of a document.

        Args:
            salt: Salt in hexadecimal.
            value: Customers by name.

        Raises:
            CustomerError: As for the class, or there are digests without a salt.
        """
        if not salt and any(one.get("key_digests") for one in value.values()):
            raise CustomerError("Key digests need a 'customer_salt', which is missing.")
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
        """Build from the rows that nodes send each other.

        Raises:
            CustomerError: As for the class, or the rows are malformed.
        """
        try:
            read = [(Customer(*row[:4]), tuple(map(bytes, row[4]))) for row in rows]
        except (TypeError, ValueError, IndexError) as error:
            raise CustomerError(f"Malformed customer rows: {error!r}.") from error
        return cls(salt, read)

    def rows(self) -> list[list[Any]]:
        """Return the rows that nodes send each other; they hold key digests and no keys."""
        return [[*one, list(self._digests[name])] for name, one in self._by_name.items()]

    def _add(self, customer: Customer, digests: tuple[bytes, ...]) -> None:
        _check(customer)
        if customer.name in self._by_name:
            raise CustomerError(f"Customer '{customer.name}' is defined twice.")
        self._by_name[customer.name] = customer
        self._digests[customer.name] = digests
        for digest in digests:
            owner = self._by_digest.setdefault(digest, customer)
            if owner is not customer:
                raise CustomerError(f"'{owner.name}' and '{customer.name}' share a key.")


def may_be_key(text: str) -> bool:
    """Return whether a text could be sent as a key in a request."""
    return _KEY.fullmatch(text) is not None


def key_digest(key: str, salt: bytes) -> bytes:
    """Return the digest that is stored and sent in place of a key."""
    return hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES, key=salt).digest()


def _check(customer: Customer) -> None:
    if not isinstance(customer.name, str) or not _NAME.fullmatch(customer.name):
        raise CustomerError("A customer has a name that is no valid header value.")
    for what, value in (("rate", customer.rate_per_s), ("burst", customer.burst)):
        if not (math.isfinite(value) and 0.0 <= value <= _RATE_MAX):
            raise CustomerError(f"Customer '{customer.name}' has an invalid {what}: {value}.")
