"""Quantiles of durations from counts of logarithmic buckets, which add up over hosts.

The buckets are those of DDSketch: all have the same ratio of bounds, so that a quantile is off by
one ratio at most, whatever the distribution.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

MIN_SECONDS = 0.001
"""Durations below count as this."""

BUCKET_RATIO = 1.25
"""Upper bound of a bucket divided by its lower bound."""

BUCKETS = 52
"""Number of buckets; the last one begins at 87 s, beyond any caller timeout."""

_LOG_RATIO = math.log(BUCKET_RATIO)


def bucket_of(seconds: float) -> int:
    """Return the number of the bucket of a duration."""
    if seconds <= MIN_SECONDS:
        return 0
    return min(BUCKETS - 1, int(math.log(seconds / MIN_SECONDS) / _LOG_RATIO))


def quantile(count_by_bucket: Mapping[int, float], fraction: float) -> float:
    """Return the duration that a fraction of the counted ones does not exceed.

    :param count_by_bucket: not empty, with positive counts
    """
    rank = fraction * sum(count_by_bucket.values())
    bucket = 0
    for bucket, count in sorted(count_by_bucket.items()):
        if count >= rank:
            return MIN_SECONDS * BUCKET_RATIO ** (bucket + rank / count)
        rank -= count
    return MIN_SECONDS * BUCKET_RATIO ** (bucket + 1)
