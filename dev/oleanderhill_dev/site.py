"""``make site``: a site on loopback that stays up until it is interrupted, for the tour."""

from __future__ import annotations

import signal
from pathlib import Path

import defopt

from .bench_site import Shape, Site


def main(*, folder: str = "build/tour", program: str = "dist/oleanderhill") -> None:
    """Run a site: two data centres, three entry hosts, ten engines, a plain service.

    :param folder: where logs go
    :param program: the shipped program
    """
    shape = Shape(
        ("intake-hall", "intake-hall", "strip-hall"), {("intake-hall", "fabric-a"): 10}, services=1
    )
    site = Site(shape, Path(folder), [program])
    try:
        site.start()
        print(f"site: callers at {' '.join(e.callers for e in site.entries)}")
        print(f"site: operators at {site.operators()}, key operator-key")
        print(f"site: logs in {folder}; press Ctrl-C to end it", flush=True)
        signal.pause()
    except KeyboardInterrupt:
        print("site: ending")
    finally:
        site.end()


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    defopt.run(main)
