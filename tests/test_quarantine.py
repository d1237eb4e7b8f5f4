"""Quarantine: who is refused after how many ends, who never is, how it spreads, what it holds."""

import functools
import itertools
import math
import random

import pytest

from roadpass.quarantine import (
    ANSWER_S,
    HELD_ROWS,
    HOLD_S,
    KEPT_S,
    MAX_ANSWERS,
    MAX_RECORDS,
    MIN_CRASHES,
    ROWS,
    TRANSMISSIONS,
    VOID_KEPT_S,
    Quarantine,
)

BAD = "bad"
NOW = 1000.0


def ended(count: int = MIN_CRASHES, *, at: float = NOW, name: str = BAD) -> Quarantine:
    """Return what a node knows that saw some targets end under a request, one a second."""
    made = Quarantine()
    for number in range(count):
        made.record_crash(at + number, name, f"target-{number}/1")
    return made


def tell(source: Quarantine, sink: Quarantine, now: float) -> None:
    """Let a node hear all that another would tell now."""
    for row in source.rows(now):
        sink.merge(now, row)


def test_what_targets_ended_under_is_refused_for_a_while() -> None:
    """From the third on; another request is not."""
    assert ended(MIN_CRASHES - 1).quarantined_s(NOW + 2.0, BAD) == 0.0
    made = ended()
    assert made.quarantined_s(NOW + 2.0, BAD) == HOLD_S
    assert made.quarantined_s(NOW + 2.0 + HOLD_S, BAD) == 0.0
    assert made.quarantined_s(NOW + 2.0, "other") == 0.0


def test_one_end_counts_once() -> None:
    """However many of its requests the target had."""
    made = Quarantine()
    for _ in range(MIN_CRASHES):
        made.record_crash(NOW, BAD, "target-1/1")
    assert made.quarantined_s(NOW, BAD) == 0.0
    assert made.is_suspect(NOW, BAD)


def test_after_the_hold_one_more_end_renews_it() -> None:
    """So a request that comes for ever ends about one target in that time."""
    made = ended()
    later = NOW + 2.0 + HOLD_S + 1.0
    made.record_crash(later, BAD, "target-9/1")
    assert made.quarantined_s(later, BAD) == HOLD_S


def test_an_answer_ends_the_doubt() -> None:
    """Also of what is refused already, as one was under way elsewhere."""
    for count in (1, MIN_CRASHES):
        made = ended(count)
        made.record_answer(NOW + 4.0, BAD)
        assert made.quarantined_s(NOW + 4.0, BAD) == 0.0
        assert not made.is_suspect(NOW + 4.0, BAD)


def test_a_popular_request_is_never_refused() -> None:
    """It is in flight wherever targets end, and answered elsewhere at the same time."""
    made = Quarantine()
    made.record_answer(NOW, "popular")
    for number in range(8):
        made.record_crash(NOW + 1.0 + number, "popular", f"target-{number}/1")
        assert made.quarantined_s(NOW + 1.0 + number, "popular") == 0.0


def test_what_was_answered_long_ago_may_have_turned_bad() -> None:
    """A new version of the targets may end under what the old one answered."""
    made = Quarantine()
    made.record_answer(NOW - ANSWER_S, BAD)
    for number in range(MIN_CRASHES):
        made.record_crash(NOW + 0.1 + number, BAD, f"target-{number}/1")
    assert made.quarantined_s(NOW + 3.0, BAD) > 0.0


def test_a_request_without_fingerprint_is_not_noted() -> None:
    """An ingress of an older version tells none."""
    made = ended(name="")
    assert made.size == 0
    assert made.quarantined_s(NOW, "") == 0.0


def test_ends_seen_by_different_nodes_are_counted_together() -> None:
    """Each saw one; whoever hears of all refuses the request."""
    nodes = [Quarantine() for _ in range(MIN_CRASHES)]
    for number, node in enumerate(nodes):
        node.record_crash(NOW, BAD, f"target-{number}/1")
    for source, sink in itertools.permutations(nodes, 2):
        tell(source, sink, NOW + 0.1)
    assert all(node.quarantined_s(NOW + 0.1, BAD) > 0.0 for node in nodes)


def test_an_answer_that_another_node_saw_speaks_for_the_request_everywhere() -> None:
    """Who hears of ends and has just seen an answer objects."""
    made, witness = ended(), Quarantine()
    witness.record_answer(NOW + 1.0, BAD)
    heard = []
    witness.on_change = lambda: heard.append(1)
    tell(made, witness, NOW + 3.0)
    assert heard
    tell(witness, made, NOW + 3.1)
    assert made.quarantined_s(NOW + 3.1, BAD) == 0.0


def test_nodes_agree_in_whatever_order_they_hear() -> None:
    """And come to rest: news that all know are told no more."""
    for seed in range(20):
        rng = random.Random(seed)
        nodes = [Quarantine() for _ in range(5)]
        news: set[int] = set()
        for number, node in enumerate(nodes):
            node.on_change = functools.partial(news.add, number)
        for number in range(rng.randrange(1, 7)):
            rng.choice(nodes).record_crash(NOW + rng.random(), BAD, f"target-{number}/1")
        if rng.random() < 0.5:
            rng.choice(nodes).record_answer(NOW + rng.uniform(-3.0, 3.0), BAD)
        now = NOW + 3.0
        for _ in range(400):
            if not news:
                break
            source = rng.choice(sorted(news))
            news.discard(source)
            now += 0.01
            rows = nodes[source].rows(now)
            for sink in nodes:
                for row in rows:
                    sink.merge(now + rng.random() * 0.005, row)
        assert not news, "the nodes go on telling"
        assert len({node.quarantined_s(now, BAD) > 0.0 for node in nodes}) == 1


def test_a_change_is_told_some_times_and_what_is_held_always() -> None:
    """A node that starts hears of it whenever it comes."""
    made = ended()
    made.record_crash(NOW, "once", "target-1/1")
    for _ in range(TRANSMISSIONS):
        assert {row[0] for row in made.rows(NOW + 3.0)} == {BAD, "once"}
    for _ in range(3):
        assert [row[0] for row in made.rows(NOW + 3.0)] == [BAD]


def test_a_datagram_tells_a_few() -> None:
    """And in turn all of them."""
    made = Quarantine()
    names = {f"work-{number}" for number in range(3 * ROWS)}
    for name in names:
        made.record_crash(NOW, name, "target-1/1")
    rows = [made.rows(NOW) for _ in range(3)]
    assert all(len(some) == ROWS for some in rows)
    assert {row[0] for some in rows for row in some} == names


def test_of_what_is_held_a_datagram_tells_fewer() -> None:
    """Once it was told often enough."""
    made = Quarantine()
    for name, number in itertools.product("abcd", range(MIN_CRASHES)):
        made.record_crash(NOW, name, f"target-{number}/1")
    for _ in range(TRANSMISSIONS):
        made.rows(NOW)
    told = [[row[0] for row in made.rows(NOW)] for _ in range(2)]
    assert [len(some) for some in told] == [HELD_ROWS, HELD_ROWS]
    assert sorted(told[0] + told[1]) == list("abcd")


def test_what_is_old_is_forgotten() -> None:
    """Ends after some time, voided ones sooner."""
    made = ended()
    made.record_crash(NOW, "voided", "target-1/1")
    made.record_answer(NOW + 1.0, "voided")
    made.rows(NOW + 1.0 + VOID_KEPT_S)
    assert made.size == 1
    made.rows(NOW + 2.0 + KEPT_S)
    assert made.size == 0


def test_memory_is_bounded_and_the_least_proved_go_first() -> None:
    """Whoever floods a node with requests that end targets frees no other."""
    made = ended()
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
def test_odd_numbers_of_a_peer_do_no_harm(row: list[object]) -> None:
    """They are checked for their kind only."""
    made = ended()
    made.merge(NOW + 3.0, row)
    made.rows(NOW + 3.0)
    assert made.quarantined_s(NOW + 3.0, "x") == 0.0
    assert made.quarantined_s(NOW + 3.0, BAD) > 0.0
