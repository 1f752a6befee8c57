"""Other balancers: a partial view, kept by heartbeats to a random few.

Nothing is agreed on.  A heartbeat says how much its sender knows, so that one whose
watch of the store has missed a change reads it anew; and it spreads addresses.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

import msgspec

from sloepond.core.forwarding.events import Subject
from sloepond.core.forwarding.peer_messages import Heartbeat

HEARTBEAT_INTERVAL_S = 1.0
FANOUT = 3
"""Peers that each heartbeat and each question goes to."""
MAXIMUM_PEERS = 64
"""Peers kept; of more, a random one makes room."""
SHARED_PEERS = 4
"""Addresses carried by a heartbeat."""
SILENT_S = 5.0
"""Silence after which a peer is no longer asked."""
BEHIND_S = {Subject.ROUTES: 0.4, Subject.BACKENDS: 1.6}
"""How long this balancer may know less than a peer before it reads the store: its own
watch mostly tells it first, later by as much as it gathers changes."""
NEVER = float("inf")


class Peer(msgspec.Struct):
    """One other balancer.

    :ivar heard_at: when it was last heard, -inf for never.
    """

    ip: str
    heard_at: float = -NEVER
    is_leaving: bool = False


class PeerTable:
    """The peers known to one balancer.

    :param ip: address of this balancer.
    :param seeds: addresses of balancers that may be up; they are never forgotten.
    """

    def __init__(self, ip: str, seeds: Iterable[str], random_source: random.Random) -> None:
        self._ip = ip
        self._random = random_source
        self._seeds: tuple[str, ...] = ()
        self._peers: dict[str, Peer] = {}
        self.seeds_changed(seeds)

    def __len__(self) -> int:
        return len(self._peers)

    def seeds_changed(self, seeds: Iterable[str]) -> None:
        """Take other seeds; peers known stay."""
        self._seeds = tuple(seed for seed in seeds if seed != self._ip)
        for seed in self._seeds:
            self._learn(seed)

    def heard(self, ip: str, heartbeat: Heartbeat, now: float) -> None:
        """Take a peer's heartbeat."""
        peer = self._learn(ip)
        if peer is not None:
            peer.heard_at = now
            peer.is_leaving = heartbeat.is_leaving
        for known in heartbeat.known_peers:
            self._learn(known)

    def choose(self, now: float, count: int = FANOUT) -> list[str]:
        """Return addresses of a random few that are alive as far as is known.

        One that may be dead is among them now and then, so that a healed cut is noticed.
        """
        alive = [peer.ip for peer in self._peers.values() if self._is_alive(peer, now)]
        others = [peer.ip for peer in self._peers.values() if not self._is_alive(peer, now)]
        chosen = self._random.sample(alive, min(count, len(alive)))
        missing = max(count - len(chosen), 1 if self._random.random() < 1 / (1 + count) else 0)
        chosen.extend(self._random.sample(others, min(missing, len(others))))
        return chosen

    def share(self, now: float) -> tuple[str, ...]:
        """Return a few living peers for a heartbeat to carry."""
        alive = [peer.ip for peer in self._peers.values() if now - peer.heard_at < SILENT_S]
        return tuple(self._random.sample(alive, min(SHARED_PEERS, len(alive))))

    @staticmethod
    def _is_alive(peer: Peer, now: float) -> bool:
        return not peer.is_leaving and now - peer.heard_at < SILENT_S

    def _learn(self, ip: str) -> Peer | None:
        if ip == self._ip:
            return None
        peer = self._peers.get(ip)
        if peer is None:
            if len(self._peers) >= MAXIMUM_PEERS:
                self._make_room()
            peer = Peer(ip)
            self._peers[ip] = peer
        return peer

    def _make_room(self) -> None:
        candidates = [ip for ip in self._peers if ip not in self._seeds]
        if candidates:
            del self._peers[self._random.choice(candidates)]
