"""Runs an entry host whose links are cut from outside: by a file, read at each SIGUSR1.

Started as ``python -m oleanderhill_dev.users.cut_entry FILE PROGRAM``.
"""

from __future__ import annotations

import signal

if __name__ == "__main__":
    # As the program does first of all: a reload signal during the imports must not end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import runpy  # noqa: E402
import sys  # noqa: E402
from pathlib import Path  # noqa: E402

import msgspec  # noqa: E402

from .cut_links import Cut, CutLinks  # noqa: E402


class CutOrder(msgspec.Struct):
    """The cut in force.

    :param how: ``None`` for no cut
    """

    how: Cut | None = None
    addresses: list[str] = []


def main() -> None:
    """Run the program, with its links cut as the file says."""
    file, program = sys.argv[1:3]
    links = CutLinks(remember_all=True)

    def read_order(*_: object) -> None:
        order = msgspec.json.decode(Path(file).read_bytes(), type=CutOrder)
        if order.how is None:
            links.heal("")
        else:
            links.cut("", order.addresses, order.how)

    signal.signal(signal.SIGUSR1, read_order)
    read_order()
    links.start()
    sys.argv[1:] = []
    runpy.run_path(program, run_name="__main__")


if __name__ == "__main__":
    main()
