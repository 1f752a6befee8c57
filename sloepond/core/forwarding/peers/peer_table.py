"""Peer sampling: each balancer keeps a partial view of the others, by heartbeats to a random few.

Membership needs no agreement.  A heartbeat says how much its sender knows, so that a peer that has missed
a change requests it; and it carries addresses of other balancers.

Owns: the peers known, and when each sent its last message.  Relies on: `Heartbeats` to send and take
heartbeats, the settings for seeds.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

import msgspec

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.peers.messages import Heartbeat

HEARTBEAT_INTERVAL_S = 1.0
"""Seconds between heartbeats, drawn from 0.8 to 1.2 times this so that they do not stay in step.  Not
measured: with `FANOUT` it makes 3 datagrams a second of each balancer, whatever the size of the fleet."""
FANOUT = 3
"""Peers that each heartbeat, request and passed-on message goes to.  Not measured alone: simulated, gossip
at this fanout misses 5% of the balancers; three readers and the pull make up for it."""
MAXIMUM_PEERS = 128
"""Peers kept; a random one makes room for another.  Not measured: bounds the memory and the time to choose
peers, and holds most of the largest fleet seen (195 balancers)."""
SHARED_PEERS = 4
"""Addresses carried by a heartbeat.  Not measured: one more than `FANOUT`; a heartbeat with four
takes about 80 bytes."""
ALIVE_TIMEOUT_S = 5.0
"""Seconds of silence after which a peer no longer counts as alive.  Not measured: several heartbeat
intervals, since each heartbeat goes to a random few."""
HALL_FANOUT = 32
"""Peers of its hall to which a balancer says at once that it stops: all of a small hall, and of a larger
one enough that most of those that stop with it know.  Not measured alone; with the rule of `planned_stop`,
of which it is a part, requests not served fell from 414 to 25 over days with a planned removal."""
NEW_PEER_SILENCE_S = 20.0
"""Seconds of silence after which a peer counts as new: it is sent a heartbeat with addresses when it
sends a message again.  Not measured: in this time each of 60 peers is sent one heartbeat on the mean."""
NAMED_TIMEOUT_S = 3.0
"""Seconds for which a peer counts as alive because a heartbeat of another one names it.  Heartbeats name
only peers that have sent messages to their sender, so one that is gone is forgotten everywhere.  Measured on
a simulated fleet of 40 without it: seeds were sent ten times the datagrams of others, and some machines
were sent almost none."""


class Peer(msgspec.Struct):
    """One other balancer.

    :ivar received_at: when its last message came, `-NEVER` for never.
    :ivar named_at: when a heartbeat of another peer last named it, `-NEVER` for never.
    :ivar is_leaving: whether it has said that it stops.
    :ivar is_ready: whether it has said that it knows routes and does not stop.
    :ivar hall: its hall, empty where it is not known.
    """

    ip: str
    received_at: float = -NEVER
    named_at: float = -NEVER
    is_leaving: bool = False
    is_ready: bool = False
    hall: str = ""


class HallPeers(msgspec.Struct, frozen=True):
    """Peers of the hall that sent a message lately.

    :ivar ready: those that live and have said that they are ready.
    :ivar others: those that stop, are silent, or know no routes yet.
    """

    ready: int
    others: int


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
        """Return the addresses of all peers kept that have not said that they leave."""
        return [peer.ip for peer in self._peers.values() if not peer.is_leaving]

    def alive(self, now: float) -> list[str]:
        """Return the addresses of the peers that count as alive."""
        return [peer.ip for peer in self._peers.values() if self._is_alive(peer, now)]

    def count_hall_peers(self, now: float) -> HallPeers:
        """Count the peers of the hall, this balancer left out."""
        recent = [
            peer
            for peer in self._peers.values()
            if peer.hall == self._hall and now - peer.received_at < NEW_PEER_SILENCE_S
        ]
        ready = sum(peer.is_ready and self._is_alive(peer, now) for peer in recent)
        return HallPeers(ready, len(recent) - ready)

    def seeds_changed(self, seeds: Iterable[str]) -> None:
        """Take other seeds; peers known stay."""
        self._seeds = tuple(seed for seed in seeds if seed != self._ip)
        for seed in self._seeds:
            self._get_or_add(seed)

    def is_new(self, ip: str, now: float) -> bool:
        """Tell whether a peer has been silent for long: it may know nobody."""
        peer = self._peers.get(ip)
        return peer is None or now - peer.received_at > NEW_PEER_SILENCE_S

    def heartbeat_received(self, ip: str, heartbeat: Heartbeat, now: float) -> None:
        """Take a peer's heartbeat."""
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
        """Note that a peer has sent some message."""
        peer = self._get_or_add(ip)
        if peer is not None:
            peer.received_at = now

    def choose(self, now: float, count: int = FANOUT) -> list[str]:
        """Return addresses of a random few that count as alive.

        One that may be dead is among them now and then, so that the end of a partition is noticed.
        """
        alive = self.alive(now)
        others = [peer.ip for peer in self._peers.values() if not self._is_alive(peer, now)]
        chosen = self._random.sample(alive, min(count, len(alive)))
        missing = max(count - len(chosen), 1 if self._random.random() < 1 / (1 + count) else 0)
        chosen.extend(self._random.sample(others, min(missing, len(others))))
        return chosen

    def choose_near(self, now: float) -> list[str]:
        """Return addresses of a few living peers, most of them in the same hall.

        Bytes between halls have a price; one peer from anywhere keeps the halls in touch.
        """
        near = self._alive_in_hall(now)
        chosen = self._random.sample(near, min(FANOUT - 1, len(near)))
        others = [ip for ip in self.choose(now, FANOUT) if ip not in chosen]
        return chosen + others[: FANOUT - len(chosen)]

    def choose_in_hall(self, now: float) -> list[str]:
        """Return addresses of the living peers that stand or may stand in the hall, of many a random part.

        The hall of a peer is unknown until its first heartbeat, which is sent to a random few.
        """
        near = self._alive_in_hall(now)
        chosen = self._random.sample(near, min(HALL_FANOUT, len(near)))
        unknown = [peer.ip for peer in self._peers.values() if not peer.hall and self._is_alive(peer, now)]
        others = self._random.sample(unknown, min(HALL_FANOUT - len(chosen), len(unknown)))
        return chosen + others

    def is_first_leave_notice(self, ip: str, heartbeat: Heartbeat) -> bool:
        """Tell whether a peer of the hall says that it stops, and was not known to."""
        peer = self._peers.get(ip)
        was_leaving = peer is not None and peer.is_leaving
        return heartbeat.is_leaving and heartbeat.hall == self._hall and not was_leaving

    def _alive_in_hall(self, now: float) -> list[str]:
        peers = self._peers.values()
        return [peer.ip for peer in peers if peer.hall == self._hall and self._is_alive(peer, now)]

    def choose_source(self, now: float, may_be_far: bool) -> list[str]:
        """Return the address of a peer to fetch a snapshot from, in the same hall if possible.

        :param may_be_far: whether one in another hall, or in an unknown one, will do.
        """
        alive = [peer for peer in self._peers.values() if self._is_alive(peer, now)]
        near = [peer.ip for peer in alive if peer.hall == self._hall]
        if near:
            return [self._random.choice(near)]
        return self.choose(now, 1)[:1] if may_be_far else []

    def choose_shared(self, now: float, hall: str = "") -> tuple[str, ...]:
        """Return a few living peers for a heartbeat to carry.

        :param hall: hall of the receiver, whose peers it needs most; empty for any.
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
