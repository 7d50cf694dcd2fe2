"""The command line: ``oleanderhill entry | settings | status | explain | schema | version``.

Exit codes: 0 success, 1 other failure, 2 usage error, 3 boot file missing or invalid, 4 settings
invalid, 5 revision conflict, 6 outcome unknown, 7 key not accepted, 8 entry host unreachable.
"""

from __future__ import annotations

import asyncio
import difflib
import os
import sys
from json import dumps, loads
from typing import Any

import defopt
from returns.pipeline import is_successful

from .. import __version__
from ..clients.httpcall import Call, HttpCaller
from ..entry import run_entry
from ..exceptions import (
    AccessError,
    Finding,
    OleanderhillError,
    OutcomeUnknownError,
    SettingsConflictError,
    SettingsInvalidError,
    StoreUnavailableError,
    UnreachableError,
)
from ..settings.checking import check_subtree, json_schema, load_boot
from ..settings.schema import Boot, FleetSettings, TeamSettings
from .explaining import explain_log, show_lines
from .report import show_decisions, show_in_force, show_status

KEY_VARIABLE = "OLEANDERHILL_KEY"
AT_VARIABLE = "OLEANDERHILL_AT"
CALL_TIMEOUT = 15.0


class UsageError(OleanderhillError):
    """An argument is invalid."""

    exit_code = 2


def entry(boot: str, *, check: bool = False) -> None:
    """Run an entry host until it receives SIGTERM or SIGINT, then drain it.

    Example: ``oleanderhill entry entry-1.json``

    :param boot: path of the boot file (JSON)
    :param check: check the boot file and exit
    """
    settings = load_boot(boot)
    if check:
        print(f"{boot}: valid")
        return
    asyncio.run(run_entry(settings))


def settings_get(team: str, *, at: str = "", json: bool = False) -> None:
    """Print the settings subtree in force at an entry host.

    Example: ``oleanderhill settings get yard --at 10.0.0.1:7001``

    :param team: name of the subtree, ``fleet`` for the settings that all teams share
    :param at: operator address of an entry host (default: OLEANDERHILL_AT)
    :param json: print as JSON with revision and history
    """
    answer = _send(_addresses_in_turn(at), "GET", f"/v1/settings/{team}")
    print(dumps(answer if json else answer["tree"], indent=2))


def settings_put(
    team: str, file: str, *, at: str = "", base: int | None = None, json: bool = False
) -> None:
    """Check a settings subtree, put it in force and print the resulting state and revision.

    Example: ``oleanderhill settings put yard yard.json --base 6``

    :param team: name of the subtree
    :param file: path of the new subtree (JSON), ``-`` for standard input
    :param at: operator address of an entry host
    :param base: revision that the file is based on; rejected if a newer one exists
    :param json: print as JSON
    """
    query = "" if base is None else f"?base={base}"
    answer = _send(_addresses_in_turn(at), "PUT", f"/v1/settings/{team}{query}", _read(file))
    line = f"{team}: {answer['state']}, revision {answer['revision']}"
    print(dumps(answer) if json else line)


def settings_check(team: str, file: str, *, at: str = "") -> None:
    """Check a settings subtree without putting it in force.

    Without ``--at``, the check runs locally and does not include the fleet's budgets.
    Example: ``oleanderhill settings check yard yard.json``

    :param team: name of the subtree
    :param file: path of the subtree (JSON), ``-`` for standard input
    :param at: operator address of an entry host, to check against the budgets in force
    """
    if at:
        _send(_addresses_in_turn(at), "PUT", f"/v1/settings/{team}?check=1", _read(file))
    else:
        check_subtree(team, _read(file))
    print(f"{team}: valid")


def settings_history(team: str, *, at: str = "", json: bool = False) -> None:
    """Print the change history of a settings subtree, newest first.

    :param team: name of the subtree
    :param at: operator address of an entry host
    :param json: print as JSON
    """
    history = _send(_addresses_in_turn(at), "GET", f"/v1/settings/{team}")["history"]
    if json:
        print(dumps(history))
        return
    for change in history:
        print(f"{change['revision']:>6}  {_format_time(change['at'])}  {change['by']}")


def settings_diff(team: str, file: str, *, at: str = "") -> None:
    """Print the differences between the settings subtree in force and a file.

    :param team: name of the subtree
    :param file: path of the subtree (JSON), ``-`` for standard input
    :param at: operator address of an entry host
    """
    current = _send(_addresses_in_turn(at), "GET", f"/v1/settings/{team}")
    new = loads(_read(file))
    old_lines = dumps(current["tree"], indent=2, sort_keys=True).splitlines()
    new_lines = dumps(new, indent=2, sort_keys=True).splitlines()
    name = f"{team} revision {current['revision']}"
    for line in difflib.unified_diff(old_lines, new_lines, name, file, lineterm=""):
        print(line)


def settings_status(*, at: str = "", json: bool = False) -> None:
    """Print the settings revisions in force at each entry host, and their age.

    Example: ``oleanderhill settings status --at 10.0.0.1:7001,10.0.0.2:7001``

    :param at: operator addresses, separated by commas
    :param json: print as JSON
    """
    answers = _get_from_all(at, "/v1/in-force")
    print(dumps(answers) if json else show_in_force(answers))


def status(*, at: str = "", json: bool = False) -> None:
    """Print the groups, domains, owners, members and measures that each entry host reports.

    Example: ``oleanderhill status --at 10.0.0.1:7001``

    :param at: operator addresses, separated by commas
    :param json: print as JSON
    """
    answers = _get_from_all(at, "/v1/status")
    print(dumps(answers) if json else show_status(answers))


def explain(subject: str, *, at: str = "", log: str = "", json: bool = False) -> None:
    """Print the decisions about a request, group, host, domain or subtree, in order.

    The decisions are fetched from running entry hosts, or read from a log file with ``--log``.
    Examples: ``oleanderhill explain 3f0c9a2b11d04e57``,
    ``oleanderhill explain 3f0c9a2b11d04e57 --log entry.log``

    :param subject: request id, group id, host, domain or team
    :param at: operator addresses, separated by commas
    :param log: path of a log file, ``-`` for standard input
    :param json: print as JSON
    """
    if log:
        lines = explain_log(subject, _read(log).decode(errors="replace").splitlines())
        print(dumps([line.fields for line in lines]) if json else show_lines(lines))
        return
    answers = _get_from_all(at, f"/v1/explain/{subject.replace('#', '%23')}")
    print(dumps(answers) if json else show_decisions(subject, answers))


def schema(kind: str) -> None:
    """Print the JSON Schema of a settings document, for use in editors.

    Example: ``oleanderhill schema team``

    :param kind: ``team``, ``fleet`` or ``boot``
    """
    types = {"team": TeamSettings, "fleet": FleetSettings, "boot": Boot}
    if kind not in types:
        raise UsageError(f"kind must be one of {', '.join(types)}")
    print(dumps(json_schema(types[kind]), indent=2))


def version() -> None:
    """Print the version."""
    print(f"oleanderhill {__version__}")


COMMANDS: dict[str, Any] = {
    "entry": entry,
    "settings": {
        "get": settings_get,
        "put": settings_put,
        "check": settings_check,
        "history": settings_history,
        "diff": settings_diff,
        "status": settings_status,
    },
    "status": status,
    "explain": explain,
    "schema": schema,
    "version": version,
}


def main(argv: list[str] | None = None) -> None:
    """Run the command line. Exits with a code other than 0 on failure."""
    try:
        defopt.run(COMMANDS, argv=argv, short={}, cli_options="has_default")
    except OleanderhillError as error:
        print(f"oleanderhill: {error.show()}", file=sys.stderr)
        sys.exit(error.exit_code)
    except BrokenPipeError:
        sys.exit(0)


def _format_time(at: float) -> str:
    from datetime import datetime

    return datetime.fromtimestamp(at).strftime("%Y-%m-%d %H:%M:%S")


def _read(path: str) -> bytes:
    if path == "-":
        return sys.stdin.buffer.read()
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        raise UsageError(f"{path}: {error.strerror}") from error


def _addresses(at: str) -> list[str]:
    text = at or os.environ.get(AT_VARIABLE, "")
    addresses = [a.strip() for a in text.split(",") if a.strip()]
    if not addresses:
        raise UsageError(f"specify an entry host with --at or {AT_VARIABLE}")
    return addresses


def _addresses_in_turn(at: str) -> list[str]:
    """Return the addresses to try in turn, for a request that needs one response."""
    return _addresses(at)


def _get_from_all(at: str, path: str) -> list[dict[str, Any]]:
    """Send a GET to every address and return the answers; unreachable ones are marked.

    :raises UnreachableError: if all are unreachable
    """
    answers: list[dict[str, Any]] = []
    failures = 0
    for address in _addresses(at):
        try:
            answers.append(_send([address], "GET", path))
        except UnreachableError as error:
            failures += 1
            answers.append({"host": address, "unreachable": str(error)})
    if failures == len(answers):
        raise UnreachableError("; ".join(a["unreachable"] for a in answers))
    return answers


def _send(addresses: list[str], method: str, path: str, body: bytes = b"") -> dict[str, Any]:
    """Send a request to the addresses in turn until one responds."""
    reason = ""
    for address in addresses:
        headers = {"Authorization": f"Bearer {os.environ.get(KEY_VARIABLE, '')}"}
        call = Call(address, method, path, headers, body, timeout=CALL_TIMEOUT)
        result = asyncio.run(HttpCaller().call(call))
        if is_successful(result):
            reply = result.unwrap()
            return _result_or_error(path, reply.status, loads(reply.body))
        failure = result.failure()
        reason = f"{address}: {failure.kind.value}: {failure.reason}"
        if failure.sent and method != "GET":
            raise OutcomeUnknownError(reason)
    raise UnreachableError(reason)


def _result_or_error(path: str, status_code: int, answer: dict[str, Any]) -> dict[str, Any]:
    if status_code == 200:
        return answer
    team, _, query = path.rsplit("/", 1)[-1].partition("?")
    if status_code in (401, 403):
        raise AccessError(f"{answer.get('detail')} (the key is read from {KEY_VARIABLE})")
    if status_code == 422:
        raise SettingsInvalidError(team, tuple(Finding(**f) for f in answer["findings"]))
    if status_code == 409:
        base = query.removeprefix("base=")
        raise SettingsConflictError(team, int(base) if base.isdigit() else 0, answer["revision"])
    if status_code == 504:
        raise OutcomeUnknownError(f"settings of {team}: check with settings history")
    if status_code == 503:
        raise StoreUnavailableError("nothing was changed")
    raise OleanderhillError(str(answer.get("detail", answer)))
