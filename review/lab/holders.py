"""Clients that each open a connection, get one answer on it, and keep it open.

Run as ``python3 holders.py COUNT PER_SECOND HOLD_SECONDS ADDRESS...``, as a process of its own, since
a process may have too few descriptors for all of them. The connections are spread over the addresses
in turn. Prints how the requests ended.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections import Counter

from client import Client

PATIENCE_SECONDS = 1.0
"""Clients allow a new connection one second, and abandon a request that isn't read in one."""


async def main() -> None:
    count, rate, hold = int(sys.argv[1]), float(sys.argv[2]), float(sys.argv[3])
    addresses = sys.argv[4:]
    ends: Counter[str] = Counter()

    async def one(number: int) -> None:
        client = Client(addresses[number % len(addresses)])
        await asyncio.sleep(number / rate)
        try:
            async with asyncio.timeout(PATIENCE_SECONDS):
                answer = await client.send("GET", f"/scan/{number}", deadline_ms=1500)
            ends[str(answer.status or answer.fault)] += 1
        except TimeoutError:
            ends["not read in a second"] += 1
            client.close()
            return
        await asyncio.sleep(hold)
        client.close()

    began = time.monotonic()
    tasks = [asyncio.create_task(one(n)) for n in range(count)]
    while sum(ends.values()) < count:
        await asyncio.sleep(0.05)
    print(json.dumps({"seconds": round(time.monotonic() - began, 2), **ends}), flush=True)
    await asyncio.gather(*tasks)


if __name__ == "__main__":
    asyncio.run(main())
