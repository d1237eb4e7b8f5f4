"""What peers said that they hold of a source, and which of them to ask for it next."""

from roadpass.news import Word
from roadpass.position import Position
from roadpass.unanswered import Unanswered


class Heard:
    """The newest word of each peer that holds more than this node; pure."""

    def __init__(self) -> None:
        self._words: dict[str, Word] = {}
        self._unanswered = Unanswered()

    def note(self, word: Word) -> None:
        """Note a word; a later one of the same peer takes its place."""
        self._words[word.vm] = word

    def best(self, now: float, beyond: Position) -> Word | None:
        """Return the word to follow up.

        First come peers that answered when they were asked last, then those of the own data hall:
        where only some can be reached, they are found soon. Of these the one that holds the most.

        Args:
            now: Clock seconds.
            beyond: The position that this node holds; words that do not go beyond it are dropped.

        Returns:
            `None` if no peer holds more, or none of those has answered lately.
        """
        self._words = {vm: word for vm, word in self._words.items() if word.position > beyond}
        can_be_asked = [w for vm, w in self._words.items() if not self._unanswered.holds(vm, now)]
        return max(can_be_asked, key=self._rank, default=None)

    def answered(self, vm: str) -> None:
        """Note that a peer told all it had when it gave its word."""
        self._words.pop(vm, None)
        self._unanswered.answered(vm)

    def did_not_answer(self, vm: str, now: float) -> None:
        """Note that a peer could not be asked at a moment."""
        self._unanswered.note(vm, now)

    def _rank(self, word: Word) -> tuple[int, bool, Position, float]:
        return (-self._unanswered.times(word.vm), word.near, word.position, word.at)
