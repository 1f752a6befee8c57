"""Peer sampling: each balancer keeps a partial view of the others, by heartbeats to a few random peers.

Membership needs no agreement.  A heartbeat reports its sender's versions, so that a peer that has missed a
change requests it, and carries addresses of other balancers.

Owns: the peers known, and when each sent its last message.  Relies on: `Heartbeats` to send and receive
heartbeats, the settings for seeds.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

import msgspec

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.peers.messages import Heartbeat

HEARTBEAT_INTERVAL_S = 1.0
"""Seconds between heartbeats, drawn from 0.8 to 1.2 times this so that balancers do not synchronise.  With
`FANOUT` each balancer sends 3 datagrams per second, whatever the size of the fleet."""
FANOUT = 3
"""Number of peers to which each heartbeat, request and forwarded message is sent.  Gossip at this fanout
misses about 5% of the balancers; three readers and the pull compensate for that."""
MAXIMUM_PEERS = 128
"""Maximum number of peers kept; a random one is evicted for a new one.  Bounds the memory and the time to
choose peers, and holds most of a fleet of 195 balancers."""
SHARED_PEERS = 4
"""Number of addresses in a heartbeat: one more than `FANOUT`; a heartbeat with four takes about 80 bytes."""
ALIVE_TIMEOUT_S = 5.0
"""Seconds without a message after which a peer no longer counts as alive: several heartbeat intervals, since
each heartbeat goes to only a few random peers."""
HALL_FANOUT = 32
"""Number of peers in its hall to which a balancer announces at once that it is stopping: all of a small hall,
and enough of a larger one to reach most of those that stop with it.  Part of the rule in `planned_stop`."""
NEW_PEER_SILENCE_S = 20.0
"""Seconds without a message after which a peer counts as new: it is sent a heartbeat with addresses when it
sends a message again.  In this time each of 60 peers is sent one heartbeat on average."""
NAMED_TIMEOUT_S = 3.0
"""Seconds for which a peer counts as alive because a heartbeat of another one names it.  Heartbeats name
only peers that have sent messages to their sender, so one that is gone is forgotten everywhere.  Without it,
seeds are sent many times the datagrams of other balancers, and some balancers almost none."""


class Peer(msgspec.Struct):
    """One other balancer.

    :ivar received_at: when its last message was received, `-NEVER` for never.
    :ivar named_at: when a heartbeat of another peer last named it, `-NEVER` for never.
    :ivar is_leaving: whether it has announced that it is stopping.
    :ivar is_ready: whether it has reported that it has routes and is not stopping.
    :ivar hall: its hall, empty if unknown.
    """

    ip: str
    received_at: float = -NEVER
    named_at: float = -NEVER
    is_leaving: bool = False
    is_ready: bool = False
    hall: str = ""


class HallPeers(msgspec.Struct, frozen=True):
    """Number of peers of the hall that have sent a message recently.

    :ivar ready: those that are alive and have reported that they are ready.
    :ivar not_ready: those that are stopping, are silent, or have no routes yet.
    """

    ready: int
    not_ready: int


class PeerTable:
    """The peers known to one balancer.

    :param ip: address of this balancer.
    :param hall: its hall.
    :param seeds: addresses of balancers that may be up; they are never forgotten.
    """

    def __init__(self, ip: str, hall: str, seeds: Iterable[str], random_source: random.Random) -> None:
        self._ip = ip
        self._hall = hall
        self._random = random_source
        self._seeds: tuple[str, ...] = ()
        self._peers: dict[str, Peer] = {}
        self.seeds_changed(seeds)

    def __len__(self) -> int:
        return len(self._peers)

    def peers_staying(self) -> list[str]:
        """Return the addresses of all known peers that have not announced that they are leaving."""
        return [peer.ip for peer in self._peers.values() if not peer.is_leaving]

    def alive(self, now: float) -> list[str]:
        """Return the addresses of the peers that count as alive."""
        return [peer.ip for peer in self._peers.values() if self._is_alive(peer, now)]

    def count_hall_peers(self, now: float) -> HallPeers:
        """Count the peers of the hall, without this balancer."""
        recent = [
            peer
            for peer in self._peers.values()
            if peer.hall == self._hall and now - peer.received_at < NEW_PEER_SILENCE_S
        ]
        ready = sum(peer.is_ready and self._is_alive(peer, now) for peer in recent)
        return HallPeers(ready, len(recent) - ready)

    def seeds_changed(self, seeds: Iterable[str]) -> None:
        """Replace the seeds; peers already known are kept."""
        self._seeds = tuple(seed for seed in seeds if seed != self._ip)
        for seed in self._seeds:
            self._get_or_add(seed)

    def is_new(self, ip: str, now: float) -> bool:
        """Return whether a peer is unknown or has been silent for long: it may know no other balancers."""
        peer = self._peers.get(ip)
        return peer is None or now - peer.received_at > NEW_PEER_SILENCE_S

    def heartbeat_received(self, ip: str, heartbeat: Heartbeat, now: float) -> None:
        """Record a peer's heartbeat and the peers that it names."""
        peer = self._get_or_add(ip)
        if peer is not None:
            peer.received_at = now
            peer.is_leaving = heartbeat.is_leaving
            peer.is_ready = heartbeat.routes_version > 0 and not heartbeat.is_leaving
            peer.hall = heartbeat.hall
        for known in heartbeat.known_peers:
            named = self._get_or_add(known)
            if named is not None:
                named.named_at = now

    def message_received(self, ip: str, now: float) -> None:
        """Record that a peer has sent some message."""
        peer = self._get_or_add(ip)
        if peer is not None:
            peer.received_at = now

    def choose(self, now: float, count: int = FANOUT) -> list[str]:
        """Return addresses of a few random peers that count as alive.

        Occasionally one that may be dead is included, so that the end of a partition is detected.
        """
        alive = self.alive(now)
        others = [peer.ip for peer in self._peers.values() if not self._is_alive(peer, now)]
        chosen = self._random.sample(alive, min(count, len(alive)))
        missing = max(count - len(chosen), 1 if self._random.random() < 1 / (1 + count) else 0)
        chosen.extend(self._random.sample(others, min(missing, len(others))))
        return chosen

    def choose_preferring_hall(self, now: float) -> list[str]:
        """Return addresses of a few live peers, most of them in the same hall.

        Traffic between halls has a cost; one peer from any hall keeps the halls connected.
        """
        near = self._alive_in_hall(now)
        chosen = self._random.sample(near, min(FANOUT - 1, len(near)))
        others = [ip for ip in self.choose(now, FANOUT) if ip not in chosen]
        return chosen + others[: FANOUT - len(chosen)]

    def choose_in_hall(self, now: float) -> list[str]:
        """Return addresses of live peers that are or may be in the hall, at most `HALL_FANOUT` at random.

        The hall of a peer is unknown until its first heartbeat arrives, which goes to only a few peers.
        """
        near = self._alive_in_hall(now)
        chosen = self._random.sample(near, min(HALL_FANOUT, len(near)))
        unknown = [peer.ip for peer in self._peers.values() if not peer.hall and self._is_alive(peer, now)]
        others = self._random.sample(unknown, min(HALL_FANOUT - len(chosen), len(unknown)))
        return chosen + others

    def is_first_leave_notice(self, ip: str, heartbeat: Heartbeat) -> bool:
        """Return whether a heartbeat is the first one in which a peer of the hall announces that it stops."""
        peer = self._peers.get(ip)
        was_leaving = peer is not None and peer.is_leaving
        return heartbeat.is_leaving and heartbeat.hall == self._hall and not was_leaving

    def _alive_in_hall(self, now: float) -> list[str]:
        peers = self._peers.values()
        return [peer.ip for peer in peers if peer.hall == self._hall and self._is_alive(peer, now)]

    def choose_snapshot_source(self, now: float, allow_other_halls: bool) -> list[str]:
        """Return the address of a peer to fetch a snapshot from, in the same hall if possible.

        :param allow_other_halls: whether a peer in another or an unknown hall is acceptable.
        """
        alive = [peer for peer in self._peers.values() if self._is_alive(peer, now)]
        near = [peer.ip for peer in alive if peer.hall == self._hall]
        if near:
            return [self._random.choice(near)]
        return self.choose(now, 1)[:1] if allow_other_halls else []

    def choose_shared(self, now: float, hall: str = "") -> tuple[str, ...]:
        """Return the addresses of a few live peers for a heartbeat to carry.

        :param hall: hall of the receiver, which needs the peers of its own hall most; empty for any.
        """
        alive = [peer for peer in self._peers.values() if now - peer.received_at < ALIVE_TIMEOUT_S]
        near = [peer.ip for peer in alive if peer.hall == hall]
        shared = self._random.sample(near, min(SHARED_PEERS - 1, len(near)))
        others = [peer.ip for peer in alive if peer.ip not in shared]
        return (*shared, *self._random.sample(others, min(SHARED_PEERS - len(shared), len(others))))

    @staticmethod
    def _is_alive(peer: Peer, now: float) -> bool:
        counts_as_alive = now - peer.received_at < ALIVE_TIMEOUT_S or now - peer.named_at < NAMED_TIMEOUT_S
        return counts_as_alive and not peer.is_leaving

    def _get_or_add(self, ip: str) -> Peer | None:
        if ip == self._ip:
            return None
        peer = self._peers.get(ip)
        if peer is None:
            if len(self._peers) >= MAXIMUM_PEERS:
                self._evict_random()
            peer = Peer(ip)
            self._peers[ip] = peer
        return peer

    def _evict_random(self) -> None:
        candidates = [ip for ip in self._peers if ip not in self._seeds]
        if candidates:
            del self._peers[self._random.choice(candidates)]
