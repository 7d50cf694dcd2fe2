"""Dependencies that all forwarded requests of a process share."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

from ..groups.evacuations import Evacuations
from ..records import Records
from ..routing.reachability import Reachability
from .admission_control import AdmissionControl
from .forwarding import Codec
from .notices import TargetNotices
from .placement import Candidate, LoadTracker
from .quarantine import QuarantineTask
from .reply_memory import ReplyMemory
from .shutdown import Shutdown
from .target_caller import TargetCaller
from .timing import Timing


class ForwardingContext(NamedTuple):
    """Dependencies that all forwarded requests of a process share.

    :param candidates: returns the targets that currently serve a service and model
    :param max_waiting: returns how many requests may queue at a group of a model such that the last
        one still meets a latency goal, as a fraction of its slots; ``None`` if unknown
    :param retry_delay: returns the seconds after which a rejected caller may retry, by service and
        model
    :param evacuated_candidates: returns those that ``candidates`` leaves out because their data
        centre is evacuated
    :param report: records route, outcome and duration in seconds of a finished request
    :param count_retry: counts a decision on a retry, by service and whether it was allowed
    :param count_send: counts a request sent to a target, by service and whether it is not the first
    :param reachability: which targets this host can't reach over its own links
    :param reply_memory: bounds what all their replies keep
    :param shutdown: the planned end of this process
    :param timing: learns from answers, and returns the usual times
    """

    codec: Codec
    caller: TargetCaller
    book: LoadTracker
    records: Records
    candidates: Callable[[str, str], Sequence[Candidate]]
    max_waiting: Callable[[str, float], float | None]
    retry_delay: Callable[[str, str], float]
    report: Callable[[str, str, float], None]
    count_retry: Callable[[str, bool], None]
    count_send: Callable[[str, bool], None]
    quarantine: QuarantineTask
    notices: TargetNotices
    evacuations: Evacuations
    evacuated_candidates: Callable[[str, str], Sequence[Candidate]]
    timing: Timing
    admission: AdmissionControl
    reachability: Reachability
    reply_memory: ReplyMemory
    shutdown: Shutdown
