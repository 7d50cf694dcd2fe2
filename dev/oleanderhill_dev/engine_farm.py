"""Runs many engine stand-ins in one process for load tests, each at its own address."""

from __future__ import annotations

import asyncio
import json

import defopt

from .engine_standin import Engine, make_application

PREFIX_CACHE_SIZE = 8


def run(engines: str, *, pace: float = 0.02, prefill: float = 0.15, capacity: int = 4) -> None:
    """Run engine stand-ins.

    :param engines: JSON object that maps host names to addresses (ip:port)
    :param pace: seconds between tokens
    :param prefill: seconds to the first token without a cached prefix
    :param capacity: requests that an engine batches
    """

    async def serve() -> None:
        member_checks = []
        for host, address in json.loads(engines).items():
            engine = Engine(host, True, pace, prefill, capacity, 100.0, "")
            engine.prefix_cache_size = PREFIX_CACHE_SIZE
            ip, port = address.rsplit(":", 1)
            make_application(engine).listen(int(port), ip)
            member_checks.append(engine.check_members())
        await asyncio.gather(*member_checks)

    asyncio.run(serve())


if __name__ == "__main__":
    defopt.run(run)
