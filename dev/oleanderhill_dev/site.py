"""``make site``: runs a site on loopback until it is interrupted, to try out the program."""

from __future__ import annotations

import signal
from pathlib import Path

import defopt

from .bench_site import Site, SiteConfig


def main(*, folder: str = "build/tour", program: str = "dist/oleanderhill") -> None:
    """Run a site with two data centres, three entry hosts, ten engines and a plain service.

    :param folder: directory for logs
    :param program: path of the oleanderhill program to run
    """
    config = SiteConfig(
        ("intake-hall", "intake-hall", "strip-hall"), {("intake-hall", "fabric-a"): 10}, services=1
    )
    site = Site(config, Path(folder), [program])
    try:
        site.start()
        print(f"site: callers at {' '.join(e.callers for e in site.entries)}")
        print(f"site: operators at {site.operators()}, key operator-key")
        print(f"site: logs in {folder}; press Ctrl-C to stop", flush=True)
        signal.pause()
    except KeyboardInterrupt:
        print("site: stopping")
    finally:
        site.stop()


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    defopt.run(main)
