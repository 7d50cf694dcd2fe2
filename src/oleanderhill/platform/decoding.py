"""Decoders for the operators' configuration and for the entries of target hosts."""

from __future__ import annotations

import math
import re
from typing import Annotated, Any, Literal, NamedTuple, TypeVar

import msgspec

from ..groups.inventory import Instance, Membership, MemberState, TargetHost
from ..settings.catalog import (
    Account,
    Backend,
    Catalog,
    ClientLimits,
    ColdProfile,
    EngineProfile,
    EngineTiming,
    ModelProfile,
    Repeatable,
    Route,
    Service,
    make_catalog,
)

CONFIGURATION_KEY = "op/config"
EVACUATIONS_PREFIX = "op/evacuate/"
OPERATOR_PREFIX = "op/"
"""Prefix of all keys that the operator writes, so that one listing reads them."""

HOSTS_PREFIX = "servers/"

_REPEATABLE_BY_ROUTE_KIND = {
    "idempotent": Repeatable.IDEMPOTENT,
    "non_idempotent": Repeatable.ONCE,
    "streaming": Repeatable.STREAM,
}

_MAX_JSON_INTEGER = 2**53
"""Largest integer that every JSON implementation represents exactly (a double has 53 bits)."""

_NonNegativeInt = Annotated[int, msgspec.Meta(ge=0, le=_MAX_JSON_INTEGER)]

_PositiveInt = Annotated[int, msgspec.Meta(ge=1, le=_MAX_JSON_INTEGER)]
_PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]

_NAME = re.compile(r"[!-~]{1,200}")
_ADDRESS = re.compile(r"\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}")

_DEFAULT_TIMEOUT_MS = 60_000
"""Timeout in milliseconds of a route that sets none; oleanderhill's own interface has the same."""


class _WeightedService(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float = _DEFAULT_TIMEOUT_MS
    goal_ms: float = 0.0
    max_attempts: int = 1
    priority: int = 0
    public: bool = False
    service: str = ""
    backends: list[_WeightedService] = []
    # Marks the routes of an engine service, despite its name.
    sticky: bool = False
    resumable: bool = False
    gap_target_ms: float = 0.0


class _Model(msgspec.Struct):
    name: str
    size: int = 1
    traffic_share: float = 1.0
    pace: float = 1.0
    load_s: float = 0.0
    warm_s: float = 0.0


class _TypicalRequest(msgspec.Struct):
    prompt: float = 0.0
    answer: float = 0.0


class _Engine(msgspec.Struct):
    max_batch: int = 1
    step_ms: float = 0.0
    per_seq_ms: float = 0.0
    # Milliseconds for each 1,000 tokens of context.
    context_per_k: float = 0.0
    read_per_s: float = 0.0
    stride: int = 1
    usual: _TypicalRequest = msgspec.field(default_factory=_TypicalRequest)
    loads_per_s: float = 1.0
    loads_at_once: int = 1
    models: list[_Model] = []


class _Service(msgspec.Struct):
    name: str
    max_connections: int = 0
    runtime: _Engine | None = None
    # Of any type, so that a value that can't be read doesn't make the whole configuration unusable.
    cold_start_s: Any = None
    cold_per_s: Any = None


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: _PositiveInt = ClientLimits().head_bytes
    max_body_bytes: _PositiveInt = ClientLimits().body_bytes
    header_timeout_ms: _PositiveFloat = ClientLimits().head_seconds * 1000
    idle_timeout_ms: _PositiveFloat = ClientLimits().idle_seconds * 1000


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = _Limits()
    tenants: list[_Tenant] | None = None


class _Group(msgspec.Struct):
    name: str
    epoch: _NonNegativeInt
    rank: _NonNegativeInt
    state: str


class _LoadedModel(msgspec.Struct):
    name: str
    version: int = 0
    adapters: list[str] = []


class _Entry(msgspec.Struct):
    service: str
    address: str
    zone: str
    version: str
    max_batch: Annotated[int, msgspec.Meta(ge=1, le=_MAX_JSON_INTEGER)]
    state: Literal["ready", "draining"]
    cold_remaining_ms: float
    sequence: _NonNegativeInt
    # Start time. A platform that omits it gives a restarted host another id.
    born: _NonNegativeInt = 0
    phase: str = ""
    domain: str = ""
    staged: list[str] = []
    models: list[_LoadedModel] = []
    group: _Group | None = None


class HostEntry(NamedTuple):
    """A decoded entry of the host list.

    :param sequence: increases each time the host rewrites its entry
    :param cold_seconds: seconds for which the host stays cold, 0 if it is warm, NaN if the number
        makes no sense
    """

    host: TargetHost
    sequence: int
    cold_seconds: float = 0.0


class _Report(msgspec.Struct):
    born: _NonNegativeInt | None = None


_CONFIGURATION = msgspec.json.Decoder(_Configuration)
_ENTRY = msgspec.json.Decoder(_Entry)
_REPORT = msgspec.json.Decoder(_Report)

_T = TypeVar("_T")


def decode_configuration(data: bytes) -> Catalog:
    """Decode the operators' configuration into a catalog.

    :raises msgspec.DecodeError: if it is malformed
    """
    found = _decode(_CONFIGURATION, data)
    tenants = found.tenants or []
    accounts = {key: Account(t.name, t.priority) for t in tenants for key in t.api_keys}
    return make_catalog(
        found.version,
        [_to_route(r) for r in found.routes],
        [_to_service(s) for s in found.services],
        accounts,
        found.tenants is not None,
        ClientLimits(
            found.limits.max_header_bytes,
            found.limits.max_body_bytes,
            found.limits.header_timeout_ms / 1000,
            found.limits.idle_timeout_ms / 1000,
        ),
    )


def decode_host(key: str, data: bytes) -> TargetHost:
    """Decode an entry like :func:`decode_entry` and return only its host."""
    return decode_entry(key, data).host


def decode_entry(key: str, data: bytes) -> HostEntry:
    """Decode the entry of a target host.

    The list is writable by others than the hosts. An entry with a missing required field, a field
    of the wrong type or an unknown state is rejected.

    :raises msgspec.DecodeError: if the entry is malformed
    """
    found = _decode(_ENTRY, data)
    name = key.removeprefix(HOSTS_PREFIX)
    # Both are copied into requests unescaped: a line break in the name would end the header.
    if not _NAME.fullmatch(name) or not _ADDRESS.fullmatch(found.address):
        raise msgspec.ValidationError(f"invalid host name {name!r} or address {found.address!r}")
    group = found.group
    membership = None
    if group is not None:
        membership = Membership(
            group.name, group.epoch, group.rank, _parse_member_state(group.state)
        )
    host = TargetHost(
        Instance(name, found.born),
        found.service,
        found.address,
        found.zone,
        found.state == "draining",
        found.max_batch,
        found.domain,
        tuple(found.staged),
        found.models[0].name if found.models else "",
        membership,
    )
    cold_ms = found.cold_remaining_ms
    return HostEntry(host, found.sequence, cold_ms / 1000 if cold_ms >= 0 else math.nan)


def decode_report(data: bytes) -> int | None:
    """Return the start time stated in a host's report, or ``None`` if it states none.

    :raises msgspec.DecodeError: if the report is malformed
    """
    return _decode(_REPORT, data).born


def _decode(decoder: msgspec.json.Decoder[_T], data: bytes) -> _T:
    try:
        return decoder.decode(data)
    except RecursionError as error:
        raise msgspec.DecodeError("nested too deeply") from error
    except UnicodeDecodeError as error:
        raise msgspec.DecodeError(str(error)) from error


def _parse_member_state(text: str) -> MemberState:
    try:
        return MemberState(text)
    except ValueError as error:
        raise msgspec.ValidationError(f"unknown member state: {text}") from error


def _to_route(found: _Route) -> Route:
    kind = _REPEATABLE_BY_ROUTE_KIND.get(found.kind)
    if kind is None:
        raise msgspec.ValidationError(f"unknown route kind: {found.kind}")
    backends = tuple(Backend(b.service, b.weight) for b in found.backends if b.weight > 0)
    return Route(
        found.name,
        found.host.lower(),
        found.prefix,
        kind,
        found.timeout_ms / 1000,
        found.goal_ms / 1000,
        max(1, found.max_attempts),
        found.priority,
        found.public,
        backends or (Backend(found.service, 1.0),),
        found.resumable,
        found.gap_target_ms / 1000,
        found.sticky,
    )


def _to_service(found: _Service) -> Service:
    cold = _to_cold_profile(found)
    if found.runtime is None:
        return Service(found.name, found.max_connections, cold=cold)
    engine = found.runtime
    models = {
        m.name: ModelProfile(m.name, m.size, m.traffic_share, m.pace, m.load_s, m.warm_s)
        for m in engine.models
    }
    shape = EngineProfile(
        engine.max_batch, engine.loads_per_s, engine.loads_at_once, models, _engine_times(engine)
    )
    return Service(found.name, found.max_connections, shape, cold)


def _to_cold_profile(found: _Service) -> ColdProfile | None:
    rate, start = _non_negative(found.cold_per_s), _non_negative(found.cold_start_s)
    return None if rate == 0 else ColdProfile(rate, start)


def _non_negative(value: object) -> float:
    """Return a number as a float, 0 if it is missing, NaN if it is not a finite positive number."""
    if value is None:
        return 0.0
    if isinstance(value, bool) or not isinstance(value, int | float):
        return math.nan
    return float(value) if 0 <= value < _MAX_JSON_INTEGER else math.nan


def _engine_times(engine: _Engine) -> EngineTiming | None:
    if min(engine.step_ms, engine.read_per_s, engine.usual.answer) <= 0:
        return None
    return EngineTiming(
        engine.step_ms / 1000,
        engine.per_seq_ms / 1000,
        engine.context_per_k / 1e6,
        max(1, engine.stride),
        1 / engine.read_per_s,
        engine.usual.prompt,
        engine.usual.answer,
    )
