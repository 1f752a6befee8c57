"""A peer channel on real sockets, and the plain sockets of its peer."""

from __future__ import annotations

import contextlib
import os
import socket
import threading

from interfaces_values import AnsweringNode, to_fetch, to_send

from sloepond.runtime.forwarding.event_loop import EventLoop, sleep_until
from sloepond.runtime.forwarding.log_writer import LogWriter
from sloepond.runtime.forwarding.peer_channel import PeerChannel

CHANNEL_IP = "127.0.32.1"
PEER_IP = "127.0.32.2"
TIMEOUT_S = 10.0
WAKE_S = 0.005
PORT_ATTEMPTS = 20
MAXIMUM_BYTES = 65_536


class ChannelAndPeer:
    """Both ends: the tested channel, and sockets that send and receive plain bytes."""

    def __init__(self):
        self.datagrams, self.streams, self.peer, self.peer_streams = bound_sockets()
        self.port = self.datagrams.getsockname()[1]
        self.datagrams.setblocking(False)
        self.streams.setblocking(False)
        self.peer.settimeout(TIMEOUT_S)
        self.peer_streams.settimeout(TIMEOUT_S)
        self.events = []
        self.loop = EventLoop()
        node = AnsweringNode()
        self.null_device = os.open(os.devnull, os.O_WRONLY)
        logs = LogWriter(node.counters, self.null_device)
        self.channel = PeerChannel(self.loop, self.datagrams, self.streams, node, self.events.append, logs)

    def close(self):
        """Close all sockets."""
        for opened in (self.datagrams, self.streams, self.peer, self.peer_streams):
            opened.close()
        os.close(self.null_device)

    def sent_for(self, message):
        """Return the datagram that is sent for a message."""
        self.channel.send(to_send(PEER_IP, message))
        return self.peer.recv(MAXIMUM_BYTES)

    def event_of(self, datagram):
        """Return the event for a received datagram."""
        self.peer.sendto(datagram, (CHANNEL_IP, self.port))
        return self._next_event()

    def request_and_event(self, request, answer):
        """Have the channel send a request; return its bytes and the event for the answer."""
        requests = []
        server = threading.Thread(target=self._serve, args=(answer, requests))
        server.start()
        self.loop.start(self.channel.fetch(to_fetch(PEER_IP, request)))
        event = self._next_event()
        server.join()
        return requests[0], event

    def answer_to(self, request):
        """Return the bytes that the channel answers to the bytes of a request."""
        answers = []
        client = threading.Thread(target=self._request, args=(request, answers))
        client.start()
        self._run(lambda: bool(answers))
        client.join()
        return answers[0]

    def _next_event(self):
        self._run(lambda: bool(self.events))
        return self.events.pop()

    def _run(self, is_done):
        """Run the loop, woken every few milliseconds, until a condition holds."""
        self.loop.start(self._wake(is_done))
        deadline = self.loop.clock() + TIMEOUT_S
        while not is_done():
            assert self.loop.clock() < deadline, "the condition did not become true in time"
            self.loop.run_once()

    async def _wake(self, is_done):
        while not is_done():
            await sleep_until(self.loop.clock() + WAKE_S)

    def _serve(self, answer, requests):
        stream, _ = self.peer_streams.accept()
        with stream:
            requests.append(read_all(stream))
            stream.sendall(answer)

    def _request(self, request, answers):
        with socket.create_connection((CHANNEL_IP, self.port), TIMEOUT_S) as stream:
            stream.sendall(request)
            stream.shutdown(socket.SHUT_WR)
            answers.append(read_all(stream))


def bound_sockets():
    """Return the datagram socket and the listener of both ends, all on the same free port."""
    for _ in range(PORT_ATTEMPTS):
        with contextlib.ExitStack() as stack:
            port, sockets = 0, []
            try:
                for ip in (CHANNEL_IP, PEER_IP):
                    datagrams = stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
                    datagrams.bind((ip, port))
                    port = datagrams.getsockname()[1]
                    sockets += [datagrams, stack.enter_context(socket.create_server((ip, port)))]
            except OSError:
                continue
            stack.pop_all()
            return sockets
    raise AssertionError("no free port")


def read_all(stream):
    """Return all bytes that arrive until the other end closes."""
    stream.settimeout(TIMEOUT_S)
    parts = []
    while part := stream.recv(MAXIMUM_BYTES):
        parts.append(part)
    return b"".join(parts)
