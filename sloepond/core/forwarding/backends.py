"""Back ends known to the data path, found by name and by routing token."""

from __future__ import annotations

import enum
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

import msgspec

from sloepond.core.forwarding.change_index import ChangeIndex
from sloepond.core.forwarding.packets import Refusal
from sloepond.core.forwarding.places import ANYWHERE, PlaceRules

TOKEN_BITS = 32
TOKEN_MASK = (1 << TOKEN_BITS) - 1
NO_TOKEN = 0
"""Stands in packets that carry no token."""
NEVER = float("inf")
DEPARTED_MEMORY_S = 90.0
"""How long a departed back end keeps its token: the life of a flow and a margin.
A back end may serve on after it has left the list."""


class Endpoint(NamedTuple):
    """Address and port, as sockets take them."""

    host: str
    port: int


class BackendState(enum.IntEnum):
    """What a back end has said of itself."""

    READY = 0
    LEAVING = 1
    DEPARTED = 2
    """No longer listed; its flows are still forwarded to it."""


class BackendRecord(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One back end as it is listed and as peers pass it on.

    :ivar number: identity of this start of it, never used again (64 bits).
    :ivar slots: requests it works on at once.
    :ivar cold_s: seconds until it is as fast as the others.
    :ivar revision: revision of the list at which this was written.
    """

    name: str
    number: int
    service: str
    host: str
    port: int
    zone: str
    slots: int
    state: BackendState
    cold_s: float = 0.0
    revision: int = 0


class Decision(msgspec.Struct, frozen=True):
    """What becomes of a packet.

    :ivar backend: where it goes; None where it is refused.
    :ivar refusal: why it goes nowhere.
    :ivar reset: whether the caller is told at once that its flow was not opened.
    :ivar lookup: whether peers are asked for the token before the packet is dropped.
    :ivar hold: whether the packet waits for room at a back end.
    :ivar suspect: name of a back end that may be gone and is to be checked.
    """

    backend: ForwardingBackend | None = None
    refusal: Refusal | None = None
    reset: bool = False
    lookup: bool = False
    hold: bool = False
    suspect: str = ""


class ForwardingBackend:
    """One start of a back end.

    :ivar token: routing token, never 0.
    :ivar prefix: identity in front of each packet (8 bytes), so that another
        start at the same address does not take it.
    :ivar warm_at: time from which it is as fast as the others.
    :ivar departed_at: time at which it was found to be listed no longer.
    :ivar said_leaving: whether it has said that it leaves.
    :ivar flows: flows opened through this balancer and not closed.
    :ivar in_flight: requests seen through this balancer without an answer.
    :ivar decision: the decision to forward to it.
    :ivar suspicious_decision: the same, and that it is to be checked.
    :ivar silent_until: time until which it is passed over for its silence.
    :ivar checked_at: when it was last checked.
    :ivar suspected_until: time until which a peer's word makes it to be checked.
    :ivar unreachable_until: time until which its flows are reset.
    """

    __slots__ = (
        "name", "number", "service", "endpoint", "zone", "slots", "state", "token", "prefix",
        "warm_at", "departed_at", "said_leaving", "revision", "flows", "in_flight",
        "silent_until", "token_bytes", "decision", "suspicious_decision", "checked_at",
        "suspected_until", "unreachable_until",
    )  # fmt: skip

    def __init__(self, record: BackendRecord, now: float) -> None:
        self.name = record.name
        self.number = record.number
        self.service = record.service
        self.endpoint = Endpoint(record.host, record.port)
        self.zone = record.zone
        self.token = token_of(record.number)
        self.token_bytes = self.token.to_bytes(4, "big")
        self.prefix = record.number.to_bytes(8, "big")
        self.decision = Decision(self)
        self.suspicious_decision = Decision(self, suspect=record.name)
        self.checked_at = -NEVER
        self.suspected_until = 0.0
        self.unreachable_until = 0.0
        self.flows = 0
        self.in_flight = 0
        self.silent_until = 0.0
        self.departed_at = now
        self.said_leaving = False
        self.update(record, now)

    def update(self, record: BackendRecord, now: float) -> None:
        """Take what the back end says of itself now."""
        self.slots = max(1, record.slots)
        self.state = record.state
        if record.state is BackendState.LEAVING:
            self.said_leaving = True
        self.warm_at = now + record.cold_s
        self.revision = record.revision
        self.suspected_until = 0.0
        self.unreachable_until = 0.0

    def is_unreachable(self, now: float) -> bool:
        """Tell whether its flows are reset."""
        return self.unreachable_until > now

    @property
    def has_vanished(self) -> bool:
        """Whether it has left the list without having said so."""
        return self.state is BackendState.DEPARTED and not self.said_leaving

    def departed_s(self, now: float) -> float:
        """Return seconds since it left the list, 0 if it is listed."""
        return now - self.departed_at if self.state is BackendState.DEPARTED else 0.0

    def record(self, now: float) -> BackendRecord:
        """Return what a peer needs to know this back end."""
        return BackendRecord(
            self.name,
            self.number,
            self.service,
            self.endpoint.host,
            self.endpoint.port,
            self.zone,
            self.slots,
            self.state,
            max(0.0, self.warm_at - now),
            self.revision,
        )


def token_of(number: int) -> int:
    """Return the routing token of an identity: 32 bits, the same everywhere, never 0."""
    folded = (number ^ number >> TOKEN_BITS) & TOKEN_MASK
    return folded or TOKEN_MASK


class BackendDirectory:
    """All back ends known, also those that leave or have departed.

    Two back ends with one token: the one known first keeps it; the other is given
    no flow until the first is forgotten, so the token always means one of them.

    :param places: where flows may go; a back end elsewhere is given none.
    :ivar changes: which of them have changed since a revision.
    """

    def __init__(self, places: PlaceRules = ANYWHERE) -> None:
        self._places = places
        self._by_name: dict[str, ForwardingBackend] = {}
        self._by_token: dict[int, ForwardingBackend] = {}
        self._by_service: dict[str, dict[str, ForwardingBackend]] = {}
        self._by_endpoint: dict[Endpoint, ForwardingBackend] = {}
        self._candidates: dict[str, list[ForwardingBackend]] = {}
        self._shadowed: set[str] = set()
        self.changes = ChangeIndex()

    def __len__(self) -> int:
        return len(self._by_name)

    def __iter__(self) -> Iterator[ForwardingBackend]:
        return iter(self._by_name.values())

    def places_changed(self, places: PlaceRules) -> None:
        """Take other rules; they bind new flows at once."""
        self._places = places
        self._candidates.clear()

    def by_token(self, token: int) -> ForwardingBackend | None:
        """Return the back end whose flows carry the token."""
        return self._by_token.get(token)

    def by_name(self, name: str) -> ForwardingBackend | None:
        """Return a back end."""
        return self._by_name.get(name)

    def candidates(self, service: str) -> list[ForwardingBackend]:
        """Return the back ends of a service that take new flows."""
        known = self._candidates.get(service)
        if known is None:
            known = [backend for backend in self._of_service(service) if self._takes_flows(backend)]
            self._candidates[service] = known
        return known

    def lately_departed(self, service: str, since: float) -> list[ForwardingBackend]:
        """Return those that left the list after `since` without having said so."""
        return [
            backend
            for backend in self._of_service(service)
            if backend.has_vanished and backend.departed_at >= since and self._may_take_flows(backend)
        ]

    def put(self, record: BackendRecord, now: float) -> bool:
        """Take a record; an older one than the one held changes nothing.

        :returns: whether anything changed.
        """
        backend = self._by_name.get(record.name)
        if backend is None:
            self._add(ForwardingBackend(record, now))
        elif not _is_news(record, backend):
            return False
        else:
            backend.update(record, now)
        self._changed(record.name, record.service, record.revision)
        return True

    def take(self, record: BackendRecord, departed_s: float, now: float) -> bool:
        """Take a record as a peer knows it, with the state it has there.

        :param departed_s: seconds since it left the list, 0 if it is listed.
        :returns: whether anything changed.
        """
        if record.name not in self._by_name:
            return self.put_known(record, departed_s, now)
        if record.state is BackendState.DEPARTED:
            return self.depart(record.name, record.revision, now - departed_s)
        return self.put(record, now)

    def put_known(self, record: BackendRecord, departed_s: float, now: float) -> bool:
        """Take a record from a peer: it adds what is unknown here, and changes nothing else."""
        if record.name in self._by_name:
            return False
        backend = ForwardingBackend(record, now)
        backend.departed_at = now - departed_s
        self._add(backend)
        self._changed(record.name, record.service, record.revision)
        return True

    def depart(self, name: str, revision: int, now: float) -> bool:
        """Note that a back end is no longer listed as of a revision."""
        backend = self._by_name.get(name)
        if backend is None or backend.state is BackendState.DEPARTED or revision < backend.revision:
            return False
        backend.state = BackendState.DEPARTED
        backend.revision = revision
        backend.departed_at = now
        if backend.is_unreachable(now):
            backend.unreachable_until = now + DEPARTED_MEMORY_S
        self._settle_address(backend)
        self._changed(name, backend.service, revision)
        return True

    def listed(self, records: Sequence[BackendRecord], revision: int, now: float) -> int:
        """Take the whole list as of a revision: who is missing in it has departed.

        :returns: number of back ends that changed.
        """
        names = {record.name for record in records}
        changed = sum(self.put(record, now) for record in records)
        missing = [name for name in self._by_name if name not in names]
        return changed + sum(self.depart(name, revision, now) for name in missing)

    def forget_departed(self, now: float) -> int:
        """Forget those whose flows must have ended; return how many."""
        old = [
            backend
            for backend in self._by_name.values()
            if backend.state is BackendState.DEPARTED and now - backend.departed_at > DEPARTED_MEMORY_S
        ]
        for backend in old:
            self._forget(backend)
            self.changes.begin_at(backend.revision)
        return len(old)

    def _changed(self, name: str, service: str, revision: int) -> None:
        self._candidates.pop(service, None)
        self.changes.note(name, revision)

    def _of_service(self, service: str) -> Iterable[ForwardingBackend]:
        members = self._by_service.get(service)
        return members.values() if members else ()

    def _takes_flows(self, backend: ForwardingBackend) -> bool:
        return backend.state is BackendState.READY and self._may_take_flows(backend)

    def _may_take_flows(self, backend: ForwardingBackend) -> bool:
        return backend.name not in self._shadowed and self._places.is_permitted(backend.service, backend.zone)

    def _add(self, backend: ForwardingBackend) -> None:
        self._by_name[backend.name] = backend
        self._by_service.setdefault(backend.service, {})[backend.name] = backend
        self._claim_token(backend)
        self._settle_address(backend)

    def _settle_address(self, backend: ForwardingBackend) -> None:
        """Of two back ends with one address, one has ended: its flows are reset."""
        other = self._by_endpoint.setdefault(backend.endpoint, backend)
        if other is backend or other.name not in self._by_name:
            self._by_endpoint[backend.endpoint] = backend
            return
        ended = _ended(backend, other)
        if ended is not None:
            ended.unreachable_until = NEVER
            self._by_endpoint[backend.endpoint] = other if ended is backend else backend

    def _claim_token(self, backend: ForwardingBackend) -> None:
        holder = self._by_token.setdefault(backend.token, backend)
        if holder is not backend:
            self._shadowed.add(backend.name)

    def _forget(self, backend: ForwardingBackend) -> None:
        del self._by_name[backend.name]
        if self._by_endpoint.get(backend.endpoint) is backend:
            del self._by_endpoint[backend.endpoint]
        members = self._by_service[backend.service]
        del members[backend.name]
        if not members:
            del self._by_service[backend.service]
        self._candidates.pop(backend.service, None)
        self._shadowed.discard(backend.name)
        if self._by_token.get(backend.token) is backend:
            del self._by_token[backend.token]
            self._pass_token_on(backend.token)

    def _pass_token_on(self, token: int) -> None:
        """Give a token that has become free to the first that waits for it."""
        for name in sorted(self._shadowed):
            heir = self._by_name[name]
            if heir.token == token:
                self._shadowed.discard(name)
                self._claim_token(heir)
                self._candidates.pop(heir.service, None)
                return


def _is_news(record: BackendRecord, backend: ForwardingBackend) -> bool:
    """Tell whether a record is newer than what is held.

    A start that has said it leaves stays so.  One that was only missed in the list
    may come back: its entry can lapse while it lives.
    """
    if record.revision <= backend.revision:
        return False
    return not (backend.said_leaving and record.state is BackendState.READY)


def _ended(one: ForwardingBackend, other: ForwardingBackend) -> ForwardingBackend | None:
    """Return which of two back ends with one address has ended, None where that is not known."""
    is_one_departed = one.state is BackendState.DEPARTED
    is_other_departed = other.state is BackendState.DEPARTED
    if is_one_departed is not is_other_departed:
        return one if is_one_departed else other
    if is_one_departed:
        return None
    return one if one.revision < other.revision else other
