"""Beliefs of the targets' load: cut ways are asked later and later, until a word comes."""

from roadpass.load import AVOIDED, CUT_GROWTH, CUT_MAX_S, CUT_S, LoadTable


def test_a_cut_way_is_asked_later_and_later() -> None:
    """Each request that asks there pays for it."""
    loads = LoadTable()
    now, pauses = 0.0, []
    for _ in range(5):
        loads.note_cut(now, "t")
        start = now
        while loads.cut_off(now):
            assert loads.load("t", now) is AVOIDED
            now += 0.01
        pauses.append(round(now - start, 1))
    assert pauses[:2] == [CUT_S, CUT_S * CUT_GROWTH]
    assert pauses[-1] == CUT_MAX_S


def test_a_word_from_there_ends_it() -> None:
    """The next cut is a new one."""
    loads = LoadTable()
    loads.note_cut(0.0, "t")
    loads.note_cut(1.0, "t")
    loads.note_reached("t")
    loads.note_cut(10.0, "t")
    assert loads.cut_off(10.0 + CUT_S - 0.01) == {"t"}
    assert loads.cut_off(10.0 + CUT_S + 0.01) == set()


def test_only_cut_targets_are_told() -> None:
    """One that refuses for a moment is not cut off."""
    loads = LoadTable()
    loads.avoid(0.0, "t")
    loads.note_reached("other")
    assert loads.cut_off(0.5) == set()
