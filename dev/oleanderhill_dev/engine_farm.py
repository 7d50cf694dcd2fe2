"""Many engine stand-ins in one process, for load: each has an address of its own."""

from __future__ import annotations

import asyncio
import json

import defopt

from .engine_standin import Engine, make_application

PREFIXES_OF_AN_ENGINE = 8


def run(engines: str, *, pace: float = 0.02, prefill: float = 0.15, capacity: int = 4) -> None:
    """Run engines.

    :param engines: JSON object of address by host name
    :param pace: seconds between tokens
    :param prefill: seconds to the first token without a cached prefix
    :param capacity: requests batched at once
    """

    async def serve() -> None:
        checks = []
        for host, address in json.loads(engines).items():
            engine = Engine(host, True, pace, prefill, capacity, 100.0, "")
            engine.prefix_limit = PREFIXES_OF_AN_ENGINE
            ip, port = address.rsplit(":", 1)
            make_application(engine).listen(int(port), ip)
            checks.append(engine.check_members())
        await asyncio.gather(*checks)

    asyncio.run(serve())


if __name__ == "__main__":
    defopt.run(run)
