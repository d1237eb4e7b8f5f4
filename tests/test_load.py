"""Beliefs of the targets' load: cut ways are asked later and later, until a word comes."""

from roadpass.load import (
    AVOIDED,
    CUT_GROWTH,
    CUT_MAX_S,
    CUT_S,
    FAR_OFFER_TTL_MAX_S,
    OFFER_TTL_S,
    LoadTable,
)


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


def test_a_full_target_is_taken_at_its_word_for_a_moment() -> None:
    """Longer where the question costs bytes between data halls; its next answer ends it."""
    loads = LoadTable()
    loads.note_word(0.0, "near", 0.0, 90.0, far=False, last=True)
    loads.note_word(0.0, "far", 0.2, 200.0, far=True, last=True)
    loads.note_word(0.0, "soon", 0.2, 10.0, far=True, last=True)
    loads.note_word(0.0, "later", 0.2, 300.0, far=True, last=True)
    loads.note_word(0.0, "sure", 0.1, 0.0, far=True, last=True)
    assert [name for name, _ in loads.words(OFFER_TTL_S / 2)] == ["near", "far", "soon", "later"]
    assert [name for name, _ in loads.words(2 * OFFER_TTL_S)] == ["far", "soon", "later"]
    assert [(name, said.bad) for name, said in loads.words(0.25)] == [("later", 0.2)]
    assert loads.words(FAR_OFFER_TTL_MAX_S) == []
    loads.note_word(1.0, "near", 0.0, 90.0, far=False, last=True)
    loads.forget_word("near")
    assert loads.words(1.0) == []


def test_words_of_targets_that_are_gone_are_forgotten() -> None:
    """The table does not grow with replaced targets."""
    loads = LoadTable()
    loads.note_word(0.0, "t", 0.0, 90.0, far=True, last=True)
    loads.keep_only({"other"})
    assert loads.words(0.0) == []
