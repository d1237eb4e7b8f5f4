"""Measures what customers and their keys cost a node: memory, look-up time and bytes per change.

Run: python -m benchmarks.customers [NUMBER]
"""

import sys
import time
import tracemalloc

from roadpass.customer import Credential, Customer, Customers
from roadpass.packing import pack

KEYS_PER_CUSTOMER = 2
"""Keys of each customer: an old and a new one, as during a key rotation."""
LOOKUPS = 100_000


def main(number: int) -> None:
    """Print the figures for a number of customers."""
    tracemalloc.start()
    started = time.perf_counter()
    customers = Customers.from_keys(
        (
            Customer(f"customer{n}", "p001", 5.0, 5.0),
            tuple(f"key-{n}-{k}" for k in range(KEYS_PER_CUSTOMER)),
        )
        for n in range(number)
    )
    built_s = time.perf_counter() - started
    memory_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    credentials = [Credential(f"key-{n % (2 * number)}-1", shown=True) for n in range(1000)]
    started = time.perf_counter()
    for n in range(LOOKUPS):
        customers.find(credentials[n % len(credentials)])
    look_up_us = (time.perf_counter() - started) / LOOKUPS * 1e6
    sent_bytes = len(pack([customers.salt, customers.rows()]))
    print(f"customers {number}, {KEYS_PER_CUSTOMER} keys each")
    print(f"held: {memory_bytes / number:.0f} bytes a customer, {memory_bytes / 1e6:.1f} MB")
    print(f"look-up: {look_up_us:.2f} us, digest of the key included")
    print(f"read from keys: {built_s / number * 1e6:.1f} us a customer")
    print(f"told between nodes at any change: {sent_bytes / number:.0f} bytes a customer")


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 100_000)
