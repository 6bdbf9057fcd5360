"""Non-blocking byte streams and listeners that one task owns."""

from __future__ import annotations

import contextlib
import errno
import socket
import struct

from chicoryusher import core
from chicoryusher.runtime import poller as poller_module

__all__ = ['Address', 'Listener', 'Stream', 'connect']

READ_BYTES = 256 * 1024
BACKLOG = 1024

# Lingering is on, for 0 s: closing resets the connection.
_NO_LINGER = struct.pack('ii', 1, 0)

Address = tuple[str, int]


class Stream:
    """One TCP connection with an output buffer.

    ``closed`` is set when the other end has gone or an error came.
    """

    def __init__(
        self,
        sock: socket.socket,
        poller: poller_module.Poller,
        owner: core.TaskName,
        connecting: bool = False,
    ) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.fileno = sock.fileno()
        self.closed = False
        self.connecting = connecting
        self._sock = sock
        self._poller = poller
        self._owner = owner
        self._reading = True
        self._out = bytearray()
        self._watched = (True, connecting)
        poller.watch(self.fileno, owner, True, connecting)

    @property
    def pending(self) -> int:
        """Return how many bytes wait to be sent."""
        return len(self._out)

    def read(self) -> bytes:
        """Return what has arrived; on end of stream set ``closed``."""
        try:
            data = self._sock.recv(READ_BYTES)
        except BlockingIOError:
            return b''
        except OSError:
            self.closed = True
            return b''
        if not data:
            self.closed = True
        return data

    def write(self, data: bytes) -> None:
        """Add to the output buffer; ``flush`` sends it."""
        self._out += data

    def flush(self) -> None:
        """Send as much of the output buffer as the socket takes."""
        if self.closed or self.connecting:
            return
        if self._out:
            try:
                sent = self._sock.send(self._out)
                del self._out[:sent]
            except BlockingIOError:
                sent = 0
            except OSError:
                self.closed = True
                return
        self._rewatch()

    def finish_connect(self) -> bool:
        """End a pending connect; return False if it failed."""
        self.connecting = False
        code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        self.closed = code != 0
        if not self.closed:
            self._rewatch()
        return not self.closed

    def set_reading(self, reading: bool) -> None:
        """Pause or resume reading, to hold the other end back."""
        self._reading = reading
        self._rewatch()

    def close(self) -> None:
        """Close the socket; what was not sent is lost."""
        self.closed = True
        if self.fileno < 0:
            return
        self._poller.forget(self.fileno)
        with contextlib.suppress(OSError):
            self._sock.close()
        self.fileno = -1

    def abort(self) -> None:
        """Reset the connection: bytes still under way are not delivered."""
        if self.fileno < 0:
            return
        with contextlib.suppress(OSError):
            self._sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER
            )
        self.close()

    def _rewatch(self) -> None:
        wanted = (self._reading, bool(self._out) or self.connecting)
        if wanted == self._watched or self.fileno < 0:
            return
        self._watched = wanted
        self._poller.watch(self.fileno, self._owner, *wanted)


class Listener:
    """A listening TCP socket that one task owns."""

    def __init__(
        self,
        address: Address,
        poller: poller_module.Poller,
        owner: core.TaskName,
    ) -> None:
        self._sock = socket.create_server(
            address, backlog=BACKLOG, reuse_port=False
        )
        self._sock.setblocking(False)
        self.fileno = self._sock.fileno()
        self.address: Address = self._sock.getsockname()[:2]
        self._poller = poller
        self._owner = owner
        poller.watch(self.fileno, owner, True, False)

    def accept(self) -> Stream | None:
        """Return the next new connection, or None if none waits."""
        try:
            sock, _ = self._sock.accept()
        except OSError:
            return None
        return Stream(sock, self._poller, self._owner)

    def close(self) -> None:
        """Stop listening."""
        if self.fileno < 0:
            return
        self._poller.forget(self.fileno)
        self._sock.close()
        self.fileno = -1


def connect(
    address: Address, poller: poller_module.Poller, owner: core.TaskName
) -> Stream | None:
    """Start to connect; None if the address refuses at once."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    code = sock.connect_ex(address)
    if code not in (0, errno.EINPROGRESS):
        sock.close()
        return None
    return Stream(sock, poller, owner, connecting=code != 0)
