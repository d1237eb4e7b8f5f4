"""Quarantine: when requests are refused, how records spread, and how many are kept."""

import functools
import itertools
import math
import random

import pytest

from roadpass.quarantine import (
    ANSWER_VALID_S,
    CLEARED_TTL_S,
    MAX_ANSWERS,
    MAX_RECORDS,
    MIN_CRASHES,
    QUARANTINE_S,
    QUARANTINED_ROWS,
    RECORD_TTL_S,
    ROWS,
    TRANSMISSIONS,
    Quarantine,
)

BAD = "bad"
NOW = 1000.0


def crashed(count: int = MIN_CRASHES, *, at: float = NOW, name: str = BAD) -> Quarantine:
    """Return the records of a node that saw targets crash on a request, one a second."""
    made = Quarantine()
    for number in range(count):
        made.record_crash(at + number, name, f"target-{number}/1")
    return made


def exchange(source: Quarantine, sink: Quarantine, now: float) -> None:
    """Merge the next datagram of one node into another."""
    for row in source.rows(now):
        sink.merge(now, row)


def test_a_request_that_crashes_targets_is_refused_for_a_while() -> None:
    """From the third crash on; another request is not refused."""
    assert crashed(MIN_CRASHES - 1).quarantined_s(NOW + 2.0, BAD) == 0.0
    made = crashed()
    assert made.quarantined_s(NOW + 2.0, BAD) == QUARANTINE_S
    assert made.quarantined_s(NOW + 2.0 + QUARANTINE_S, BAD) == 0.0
    assert made.quarantined_s(NOW + 2.0, "other") == 0.0


def test_one_crash_counts_once() -> None:
    """Even if the target had several requests with this fingerprint."""
    made = Quarantine()
    for _ in range(MIN_CRASHES):
        made.record_crash(NOW, BAD, "target-1/1")
    assert made.quarantined_s(NOW, BAD) == 0.0
    assert made.is_suspect(NOW, BAD)


def test_one_more_crash_renews_an_expired_quarantine() -> None:
    """So a request that keeps coming crashes about one target in that time."""
    made = crashed()
    later = NOW + 2.0 + QUARANTINE_S + 1.0
    made.record_crash(later, BAD, "target-9/1")
    assert made.quarantined_s(later, BAD) == QUARANTINE_S


def test_an_answer_clears_a_request() -> None:
    """Also one in quarantine: it may have been in flight elsewhere."""
    for count in (1, MIN_CRASHES):
        made = crashed(count)
        made.record_answer(NOW + 4.0, BAD)
        assert made.quarantined_s(NOW + 4.0, BAD) == 0.0
        assert not made.is_suspect(NOW + 4.0, BAD)


def test_a_popular_request_is_never_refused() -> None:
    """It is in flight wherever targets crash, and answered elsewhere at the same time."""
    made = Quarantine()
    made.record_answer(NOW, "popular")
    for number in range(8):
        made.record_crash(NOW + 1.0 + number, "popular", f"target-{number}/1")
        assert made.quarantined_s(NOW + 1.0 + number, "popular") == 0.0


def test_an_old_answer_does_not_clear_later_crashes() -> None:
    """A new version of the targets may crash on a request that the old one answered."""
    made = Quarantine()
    made.record_answer(NOW - ANSWER_VALID_S, BAD)
    for number in range(MIN_CRASHES):
        made.record_crash(NOW + 0.1 + number, BAD, f"target-{number}/1")
    assert made.quarantined_s(NOW + 3.0, BAD) > 0.0


def test_a_request_without_fingerprint_is_not_recorded() -> None:
    """An ingress of an older version sends none."""
    made = crashed(name="")
    assert made.size == 0
    assert made.quarantined_s(NOW, "") == 0.0


def test_crashes_seen_by_different_nodes_add_up() -> None:
    """Each node saw one crash; a node that has all records refuses the request."""
    nodes = [Quarantine() for _ in range(MIN_CRASHES)]
    for number, node in enumerate(nodes):
        node.record_crash(NOW, BAD, f"target-{number}/1")
    for source, sink in itertools.permutations(nodes, 2):
        exchange(source, sink, NOW + 0.1)
    assert all(node.quarantined_s(NOW + 0.1, BAD) > 0.0 for node in nodes)


def test_an_answer_that_another_node_saw_clears_the_request_everywhere() -> None:
    """A node that receives crashes and has just seen an answer sends the answer."""
    made, witness = crashed(), Quarantine()
    witness.record_answer(NOW + 1.0, BAD)
    changes = []
    witness.on_change = lambda: changes.append(1)
    exchange(made, witness, NOW + 3.0)
    assert changes
    exchange(witness, made, NOW + 3.1)
    assert made.quarantined_s(NOW + 3.1, BAD) == 0.0


def test_nodes_converge_in_any_order_of_messages() -> None:
    """And then stop sending: a change that all nodes know is not sent again."""
    for seed in range(20):
        rng = random.Random(seed)
        nodes = [Quarantine() for _ in range(5)]
        changed: set[int] = set()
        for number, node in enumerate(nodes):
            node.on_change = functools.partial(changed.add, number)
        for number in range(rng.randrange(1, 7)):
            rng.choice(nodes).record_crash(NOW + rng.random(), BAD, f"target-{number}/1")
        if rng.random() < 0.5:
            rng.choice(nodes).record_answer(NOW + rng.uniform(-3.0, 3.0), BAD)
        now = NOW + 3.0
        for _ in range(400):
            if not changed:
                break
            source = rng.choice(sorted(changed))
            changed.discard(source)
            now += 0.01
            rows = nodes[source].rows(now)
            for sink in nodes:
                for row in rows:
                    sink.merge(now + rng.random() * 0.005, row)
        assert not changed, "the nodes do not stop sending"
        assert len({node.quarantined_s(now, BAD) > 0.0 for node in nodes}) == 1


def test_a_change_is_sent_a_few_times_and_a_quarantine_always() -> None:
    """So a node learns of the quarantine whenever it starts."""
    made = crashed()
    made.record_crash(NOW, "once", "target-1/1")
    for _ in range(TRANSMISSIONS):
        assert {row[0] for row in made.rows(NOW + 3.0)} == {BAD, "once"}
    for _ in range(3):
        assert [row[0] for row in made.rows(NOW + 3.0)] == [BAD]


def test_a_datagram_has_a_limited_number_of_records() -> None:
    """All of them are sent in turn."""
    made = Quarantine()
    names = {f"work-{number}" for number in range(3 * ROWS)}
    for name in names:
        made.record_crash(NOW, name, "target-1/1")
    rows = [made.rows(NOW) for _ in range(3)]
    assert all(len(some) == ROWS for some in rows)
    assert {row[0] for some in rows for row in some} == names


def test_a_datagram_has_fewer_records_in_quarantine() -> None:
    """Once they were sent often enough as changes."""
    made = Quarantine()
    for name, number in itertools.product("abcd", range(MIN_CRASHES)):
        made.record_crash(NOW, name, f"target-{number}/1")
    for _ in range(TRANSMISSIONS):
        made.rows(NOW)
    sent = [[row[0] for row in made.rows(NOW)] for _ in range(2)]
    assert [len(some) for some in sent] == [QUARANTINED_ROWS, QUARANTINED_ROWS]
    assert sorted(sent[0] + sent[1]) == list("abcd")


def test_old_records_are_dropped() -> None:
    """Cleared ones sooner than those with crashes."""
    made = crashed()
    made.record_crash(NOW, "voided", "target-1/1")
    made.record_answer(NOW + 1.0, "voided")
    made.rows(NOW + 1.0 + CLEARED_TTL_S)
    assert made.size == 1
    made.rows(NOW + 2.0 + RECORD_TTL_S)
    assert made.size == 0


def test_memory_is_bounded_and_records_with_few_crashes_are_evicted_first() -> None:
    """A flood of requests that crash targets releases no other from quarantine."""
    made = crashed()
    for number in range(2 * MAX_RECORDS):
        made.record_crash(NOW + 3.0, f"work-{number}", "target-1/1")
        made.record_answer(NOW, f"answered-{number}")
    assert made.size == MAX_RECORDS
    assert made.quarantined_s(NOW + 3.0, BAD) > 0.0
    for number in range(2 * MAX_ANSWERS):
        made.record_answer(NOW, f"answered-{number}")
    assert len(made._answers) == MAX_ANSWERS


ODD_ROWS = (
    ["x", math.nan, [["e", math.nan]]],
    ["x", -1.0, [["e", -1e300]]],
    ["x", 1e300, []],
)


@pytest.mark.parametrize("row", ODD_ROWS)
def test_invalid_numbers_from_a_peer_are_harmless(row: list[object]) -> None:
    """Only their types are checked on receipt."""
    made = crashed()
    made.merge(NOW + 3.0, row)
    made.rows(NOW + 3.0)
    assert made.quarantined_s(NOW + 3.0, "x") == 0.0
    assert made.quarantined_s(NOW + 3.0, BAD) > 0.0
