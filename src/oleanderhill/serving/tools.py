"""What all forwarded requests of a process share."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

from ..clients.httpcall import HttpCaller
from ..records import Records
from .forwarding import Codec
from .notices import TargetNotices
from .placing import Candidate, LoadBook
from .quarantine import QuarantineTask


class Tools(NamedTuple):
    """What all requests of a process share.

    :param candidates: returns the targets that serve a service and model now
    :param waiting: returns how many requests may wait at a model's group for the last to be on time
        by a goal, in parts of its slots, ``None`` where that is not known
    :param come_back: returns the seconds after which a refused caller may come back to them
    :param report: takes route, outcome and seconds of a request that has ended
    """

    codec: Codec
    caller: HttpCaller
    book: LoadBook
    records: Records
    candidates: Callable[[str, str], Sequence[Candidate]]
    waiting: Callable[[str, float], float | None]
    come_back: Callable[[str, str], float]
    report: Callable[[str, str, float], None]
    quarantine: QuarantineTask
    notices: TargetNotices
