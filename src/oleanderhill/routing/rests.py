"""Targets that asked this host for rest: until when, and how they are tried after it.

A target that sheds load answers 503 and names the seconds for which it wants nothing from the host
that it answers. Unlike a suspicion, which is this host's guess and is dropped when it seems wrong,
the time is the target's own word: nothing that happens meanwhile ends it early.

What a target asks of one host is not told to the others, which it may still serve. When a rest is
over, one request shows whether the target takes them again; sent all at once, those that are held
back would have it shed anew.
"""

from __future__ import annotations

from collections.abc import Collection


class _Rest:
    """The rest of one target; ``on_trial`` while a request tries it after the end."""

    def __init__(self, until: float) -> None:
        self.until = until
        self.on_trial = False


class Rests:
    """The rests of targets, by life. Times are seconds of one clock that no step moves.

    :ivar asked: times that a target asked for a rest or a longer one
    :ivar held_back: times that a target was passed over for its rest
    """

    def __init__(self) -> None:
        self._rest_by_life: dict[str, _Rest] = {}
        self.asked = 0
        self.held_back = 0

    def ask(self, life: str, seconds: float, now: float) -> bool:
        """Take a target's word; return whether its rest lasts longer for it."""
        rest = self._rest_by_life.get(life)
        if rest is None:
            rest = self._rest_by_life[life] = _Rest(float("-inf"))
        rest.on_trial = False
        if now + seconds <= rest.until:
            return False
        rest.until = now + seconds
        self.asked += 1
        return True

    def left(self, life: str, now: float) -> float:
        """Return the seconds of rest that a target has left, 0 for none."""
        rest = self._rest_by_life.get(life)
        return 0.0 if rest is None else max(0.0, rest.until - now)

    def may_send(self, life: str, now: float) -> bool:
        """Tell whether anything may go to a target now."""
        return self.left(life, now) <= 0.0

    def may_take(self, life: str, now: float) -> bool:
        """Tell whether a request may be placed at a target, which takes one for a trial."""
        rest = self._rest_by_life.get(life)
        return rest is None or (rest.until <= now and not rest.on_trial)

    def take(self, life: str) -> bool:
        """Place a request; return whether it is the trial after a rest, which must be ended."""
        rest = self._rest_by_life.get(life)
        if rest is None:
            return False
        rest.on_trial = True
        return True

    def trial_taken(self, life: str, now: float) -> bool:
        """Take note that a target took its trial; return whether its rest is past for that."""
        if not self.may_send(life, now):
            return False
        return self._rest_by_life.pop(life, None) is not None

    def trial_ended(self, life: str) -> None:
        """Take note that a trial is over, however it ended."""
        rest = self._rest_by_life.get(life)
        if rest is not None:
            rest.on_trial = False

    def forget(self, life: str) -> None:
        """Drop what a life asked for that is over."""
        self._rest_by_life.pop(life, None)

    def resting(self, now: float) -> Collection[str]:
        """Return the lives that rest."""
        return [life for life, rest in self._rest_by_life.items() if rest.until > now]

    def until_one_ends(self, lives: Collection[str], now: float) -> float | None:
        """Return the seconds until the first of some targets may be tried.

        :return: ``None`` where one of them has no rest
        """
        if not lives or any(life not in self._rest_by_life for life in lives):
            return None
        return min(self.left(life, now) for life in lives)
