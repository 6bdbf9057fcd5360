"""Crowds of clients, and what a process holds while it serves them."""

from __future__ import annotations

import os
import pathlib
import re
import select
import socket
import time

HOST = '127.0.0.1'
KIB, MIB = 1024, 1024 * 1024
POLL_S = 0.05
# A crowd ends after so many polls in which no byte moved.
STALLED_POLLS = 40
# A process that used hardly any processor time for so many polls is idle.
IDLE_POLLS = 12
MAX_SETTLE_POLLS = 400


class Client:
    """A connection that sends ``data`` in pieces, and may read answers."""

    def __init__(self, sock, data, piece_bytes=64 * KIB, reads=False):
        self.sock = sock
        self.sock.setblocking(False)
        self.data = memoryview(data)
        self.piece_bytes = piece_bytes
        self.reads = reads
        self.closed = False

    def move(self, events):
        """Receive and send; return whether a byte moved."""
        received = self.reads and self._receive()
        sent = not self.closed and len(self.data) and self._send()
        if events & (select.POLLHUP | select.POLLERR):
            self.closed = True
        return received or sent

    def _send(self):
        """Send a piece; return whether a byte moved."""
        try:
            count = self.sock.send(self.data[: self.piece_bytes])
        except BlockingIOError:
            return False
        except OSError:
            self.closed = True
            return False
        self.data = self.data[count:]
        return True

    def _receive(self):
        """Read what has arrived; return whether a byte moved."""
        try:
            data = self.sock.recv(64 * KIB)
        except BlockingIOError:
            return False
        except OSError:
            data = b''
        self.closed = not data
        return bool(data)


class Crowd:
    """Clients that send the same bytes at the same time."""

    def __init__(self, address, count, data=b'', **options):
        self._clients = [
            Client(socket.create_connection(address), data, **options)
            for _ in range(count)
        ]

    def add(self, client):
        self._clients.append(client)

    def send(self):
        """Send until all is sent, or no byte moves any more."""
        stalled = 0
        while stalled < STALLED_POLLS:
            senders = [c for c in self._open() if len(c.data)]
            readers = [c for c in self._open() if c.reads]
            if not senders and not readers:
                return
            poll = select.poll()
            for client in readers:
                poll.register(client.sock, select.POLLIN)
            for client in senders:
                both = select.POLLIN if client.reads else 0
                poll.register(client.sock, select.POLLOUT | both)
            events = dict(poll.poll(POLL_S * 1000))
            moved = [
                client.move(events[client.sock.fileno()])
                for client in self._open()
                if client.sock.fileno() in events
            ]
            stalled = 0 if any(moved) else stalled + 1

    def _open(self):
        return [client for client in self._clients if not client.closed]

    def close(self):
        for client in self._clients:
            client.sock.close()


def settle(pid, max_resident_mb):
    """Wait until a process has handled what it was sent.

    It then uses little processor time, or is over its memory.
    """
    used = [processor_ticks(pid)]
    for _ in range(MAX_SETTLE_POLLS):
        time.sleep(POLL_S)
        used.append(processor_ticks(pid))
        if peak_mb(pid) > max_resident_mb:
            return
        if len(used) > IDLE_POLLS and used[-1] <= used[-IDLE_POLLS] + 2:
            return


def wait_until(condition, tries=600):
    for _ in range(tries):
        if condition():
            return
        time.sleep(POLL_S)
    raise AssertionError('the condition never held')


class ProcessLog:
    """The file that a process logs to, and that a test reads meanwhile.

    It is read through another descriptor: the process inherits this one with
    its position, and would write over the lines that a test has gone back to.
    """

    def __init__(self, path):
        self._path = path
        self.file = path.open('w')

    def first_line(self):
        with self._path.open() as log:
            return log.readline()


def resident_mb(pid):
    return _status_mb(pid, 'VmRSS')


def peak_mb(pid):
    return _status_mb(pid, 'VmHWM')


def _status_mb(pid, name):
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    return int(re.search(rf'{name}:\s+(\d+) kB', status)[1]) / KIB


def processor_ticks(pid):
    """Return the processor time that a process has used, in clock ticks."""
    stat = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = stat.rpartition(')')[2].split()
    return int(fields[11]) + int(fields[12])


def open_fds(pid):
    return len(os.listdir(f'/proc/{pid}/fd'))
