"""Targets that asked this host to back off: until when, and how they are tried after it.

A target that sheds load answers 503 and names the seconds for which it wants nothing from the host
that it answers. Unlike a suspicion, which is this host's guess and is dropped when it seems wrong,
the time is the target's own word: nothing that happens meanwhile ends it early.

What a target asks of one host does not bind the others, which it may still serve. When the time is
over, one request shows whether the target takes them again, as a circuit breaker that is half open
does; sent all at once, those that are held back would have it shed anew.
"""

from __future__ import annotations

from collections.abc import Collection


class _Backoff:
    """The back-off from one target; ``on_trial`` while a request tries it after the end."""

    def __init__(self, until: float) -> None:
        self.until = until
        self.on_trial = False


class Backoffs:
    """The back-offs from targets, by life. Times are seconds of one clock that no step moves.

    :ivar asked: times that a target asked for one or a longer one
    :ivar held_back: times that a target was passed over for it
    """

    def __init__(self) -> None:
        self._backoff_by_life: dict[str, _Backoff] = {}
        self.asked = 0
        self.held_back = 0

    def ask(self, life: str, seconds: float, now: float) -> bool:
        """Take a target's word; return whether this host backs off longer for it."""
        backoff = self._backoff_by_life.get(life)
        if backoff is None:
            backoff = self._backoff_by_life[life] = _Backoff(float("-inf"))
        backoff.on_trial = False
        if now + seconds <= backoff.until:
            return False
        backoff.until = now + seconds
        self.asked += 1
        return True

    def left(self, life: str, now: float) -> float:
        """Return the seconds for which nothing goes to a target, 0 where something may."""
        backoff = self._backoff_by_life.get(life)
        return 0.0 if backoff is None else max(0.0, backoff.until - now)

    def may_send(self, life: str, now: float) -> bool:
        """Tell whether anything may go to a target now."""
        return self.left(life, now) <= 0.0

    def may_take(self, life: str, now: float) -> bool:
        """Tell whether a request may be placed at a target, which takes one for a trial."""
        backoff = self._backoff_by_life.get(life)
        return backoff is None or (backoff.until <= now and not backoff.on_trial)

    def take(self, life: str) -> bool:
        """Place a request; return whether it is the trial after a back-off, which must be ended."""
        backoff = self._backoff_by_life.get(life)
        if backoff is None:
            return False
        backoff.on_trial = True
        return True

    def trial_taken(self, life: str, now: float) -> bool:
        """Take note that a target took its trial; return whether its back-off is past for that."""
        if not self.may_send(life, now):
            return False
        return self._backoff_by_life.pop(life, None) is not None

    def trial_ended(self, life: str) -> None:
        """Take note that a trial is over, however it ended."""
        backoff = self._backoff_by_life.get(life)
        if backoff is not None:
            backoff.on_trial = False

    def forget(self, life: str) -> None:
        """Drop what a life asked for that is over."""
        self._backoff_by_life.pop(life, None)

    def active(self, now: float) -> Collection[str]:
        """Return the lives to which nothing goes now."""
        return [life for life, backoff in self._backoff_by_life.items() if backoff.until > now]

    def until_one_ends(self, lives: Collection[str], now: float) -> float | None:
        """Return the seconds until the first of some targets may be tried.

        :return: ``None`` where this host does not back off from one of them
        """
        if not lives or any(life not in self._backoff_by_life for life in lives):
            return None
        return min(self.left(life, now) for life in lives)
