"""Customers and their keys: lookup by key, and that no key is ever exposed."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from roadpass.customer import Credential, Customer, Customers
from roadpass.errors import CustomerError

SECRET = "a828m82thhkmgjqnirth"
LIBRARY = Customer("library", "p001", 78.0, 20.0)
SCHOOL = Customer("school")


def credential(*values: str, name: str = "Authorization") -> Credential:
    """Return the credential of a request with these header values."""
    headers = [("Accept", "x"), *((name, value) for value in values)]
    return Credential.from_headers(headers, "Authorization", "Token")


def test_customer_is_found_by_any_of_its_keys() -> None:
    """The case of the header name and of the scheme is irrelevant."""
    customers = Customers.from_keys([(LIBRARY, (SECRET, "other")), (SCHOOL, ("third",))])
    assert customers.find(credential(f"Token {SECRET}")) == LIBRARY
    assert customers.find(credential("token  other ", name="AUTHORIZATION")) == LIBRARY
    assert customers.find(credential("Token third")) == SCHOOL


@pytest.mark.parametrize(
    "values",
    [
        (),
        ("",),
        ("Token",),
        ("Token ",),
        (SECRET,),
        (f"Bearer {SECRET}",),
        (f"Token {SECRET}x",),
        (f"Token {SECRET} x",),
        (f"Token\t{SECRET}",),
        (f"Token {SECRET}", f"Token {SECRET}"),
        (f"Token {SECRET}", ""),
        (f"Token {SECRET}, Token {SECRET}",),
        ("Token " + "x" * 5000,),
        ("Token \u00e9",),
    ],
)
def test_headers_without_a_known_key(values: tuple[str, ...]) -> None:
    """Missing, repeated, oversized, malformed or unknown keys."""
    customers = Customers.from_keys([(LIBRARY, (SECRET,))])
    assert customers.find(credential(*values)) is None


def test_customer_without_keys_is_never_found() -> None:
    """A request without a key must not match a customer without keys."""
    customers = Customers.from_keys([(LIBRARY, ())])
    assert customers.find(Credential()) is None


@pytest.mark.parametrize(
    "pairs",
    [
        [(LIBRARY, ("a",)), (SCHOOL, ("a",))],
        [(LIBRARY, ("a",)), (LIBRARY, ("b",))],
        [(LIBRARY, ("a b",))],
        [(LIBRARY, ("",))],
        [(Customer("a\r\nb"), ("a",))],
        [(Customer(""), ("a",))],
        [(Customer("a", rate_per_s=-1.0), ("a",))],
        [(Customer("a", rate_per_s=float("nan")), ("a",))],
        [(Customer("a", burst=float("inf")), ("a",))],
    ],
)
def test_invalid_customers(pairs: list[tuple[Customer, tuple[str, ...]]]) -> None:
    """Shared or malformed keys, repeated customers, invalid names and limits."""
    with pytest.raises(CustomerError):
        Customers.from_keys(pairs)


def test_key_is_in_no_text() -> None:
    """Not in the text of a credential, the customer table, the rows sent to nodes, or an error."""
    customers = Customers.from_keys([(LIBRARY, (SECRET,))])
    texts = [repr(credential(f"Token {SECRET}")), repr(customers), repr(customers.rows())]
    for pairs in ([(LIBRARY, (SECRET,)), (SCHOOL, (SECRET,))], [(LIBRARY, (f"{SECRET} ",))]):
        with pytest.raises(CustomerError) as caught:
            Customers.from_keys(pairs)
        texts.append(str(caught.value))
    assert not [text for text in texts if SECRET in text]


def test_digests_differ_between_salts() -> None:
    """Each deployment has its own salt, so digests of one are useless in another."""
    one, other = (Customers.from_keys([(LIBRARY, (SECRET,))]) for _ in range(2))
    assert one.keys_of("library").isdisjoint(other.keys_of("library"))


KEYS = st.text(st.characters(min_codepoint=33, max_codepoint=126), min_size=1, max_size=30)
FIGURES = st.floats(0.0, 1e6)


@given(st.lists(st.tuples(KEYS, FIGURES, FIGURES, st.lists(KEYS, max_size=3)), max_size=8))
def test_lookup_after_round_trip(drawn: list[tuple[str, float, float, list[str]]]) -> None:
    """Compares lookups after a round trip with a plain dict of keys to names."""
    naive: dict[str, str] = {}
    pairs: list[tuple[Customer, tuple[str, ...]]] = []
    for name, rate, burst, keys in drawn:
        if name in {customer.name for customer, _ in pairs}:
            continue
        own = tuple(key for key in dict.fromkeys(keys) if key not in naive)
        naive.update(dict.fromkeys(own, name))
        pairs.append((Customer(name, None, rate, burst), own))
    built = Customers.from_keys(pairs)
    again = Customers.from_rows(built.salt, built.rows())
    assert again == built
    for key, name in naive.items():
        found = again.find(Credential(key))
        assert found is not None
        assert found.name == name
    assert again.find(Credential("\u00e9")) is None


@pytest.mark.parametrize("rows", [[1], [["a"]], [["a", None, 1.0, 1.0, 7]], 5, [[5, 1, 1, 1, []]]])
def test_malformed_rows(rows: object) -> None:
    """Malformed rows raise `CustomerError`, whatever they hold."""
    with pytest.raises(CustomerError):
        Customers.from_rows(b"salt", rows)  # type: ignore[arg-type]
