"""Non-blocking TCP connections and listeners, each owned by one task."""

from __future__ import annotations

import contextlib
import errno
import socket
import struct

from chicoryusher import core
from chicoryusher.runtime import logs
from chicoryusher.runtime import poller as poller_module

__all__ = [
    'CALLER_BUFFER_BYTES',
    'Address',
    'Listener',
    'Stream',
    'connect',
]

MAX_READ_BYTES = 256 * 1024
LISTEN_BACKLOG = 1024
# Seconds for which a listener is not watched after an accept that has failed
# for lack of descriptors or memory: it stays ready all the time.
ACCEPT_PAUSE_S = 0.5
_LACKING = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
# Size of the system's buffers of a caller's connection; Linux doubles it.
CALLER_BUFFER_BYTES = 128 * 1024

# SO_LINGER, switched on with 0 s: closing the socket resets the connection.
_LINGER_0_S = struct.pack('ii', 1, 0)

Address = tuple[str, int]


class Stream:
    """One TCP connection with an output buffer.

    ``closed`` is set when the other end has closed the connection or a
    socket call has failed.
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
        self._read_enabled = True
        self._output = bytearray()
        self._interest = (True, connecting)
        poller.watch(self.fileno, owner, True, connecting)

    @property
    def pending(self) -> int:
        """Return how many bytes the output buffer holds."""
        return len(self._output)

    def read(self) -> bytes:
        """Return received bytes; set ``closed`` at the end of the stream."""
        try:
            data = self._sock.recv(MAX_READ_BYTES)
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
        self._output += data

    def flush(self) -> None:
        """Send as much of the output buffer as the socket accepts."""
        if self.closed or self.connecting:
            return
        if self._output:
            try:
                sent = self._sock.send(self._output)
                del self._output[:sent]
            except BlockingIOError:
                sent = 0
            except OSError:
                self.closed = True
                return
        self._update_interest()

    def finish_connect(self) -> bool:
        """Complete a pending connect; return whether it succeeded."""
        self.connecting = False
        error_number = self._sock.getsockopt(
            socket.SOL_SOCKET, socket.SO_ERROR
        )
        self.closed = error_number != 0
        if not self.closed:
            self._update_interest()
        return not self.closed

    def set_reading(self, reading: bool) -> None:
        """Pause or resume reading, to slow down the other end."""
        self._read_enabled = reading
        self._update_interest()

    def close(self) -> None:
        """Close the socket; unsent bytes are lost."""
        self.closed = True
        if self.fileno < 0:
            return
        self._poller.forget(self.fileno)
        with contextlib.suppress(OSError):
            self._sock.close()
        self.fileno = -1

    def abort(self) -> None:
        """Reset the connection; bytes in transit are not delivered."""
        if self.fileno < 0:
            return
        with contextlib.suppress(OSError):
            self._sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_0_S
            )
        self.close()

    def _update_interest(self) -> None:
        """Set the events that the poller reports for the socket."""
        interest = (self._read_enabled, bool(self._output) or self.connecting)
        if interest == self._interest or self.fileno < 0:
            return
        self._interest = interest
        self._poller.watch(self.fileno, self._owner, *interest)


class Listener:
    """A listening TCP socket.

    ``buffer_bytes`` limits what the system buffers for each connection and
    direction, so that a client that reads or sends slowly does not take much
    of the machine's memory. None leaves it to the system.

    Where an accept fails for lack of descriptors or memory, the owner gets
    the next ``SocketReady`` after a pause; new connections wait meanwhile.
    """

    def __init__(
        self,
        address: Address,
        poller: poller_module.Poller,
        owner: core.TaskName,
        buffer_bytes: int | None = None,
    ) -> None:
        self._sock = socket.create_server(
            address, backlog=LISTEN_BACKLOG, reuse_port=False
        )
        if buffer_bytes is not None:
            for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
                self._sock.setsockopt(socket.SOL_SOCKET, option, buffer_bytes)
        self._sock.setblocking(False)
        self.fileno = self._sock.fileno()
        self.address: Address = self._sock.getsockname()[:2]
        self._poller = poller
        self._owner = owner
        self._log = logs.Log('', owner)
        # The attempt at the end of the pause, None if there is no pause.
        self._next_attempt: core.TimerId | None = None
        poller.watch(self.fileno, owner, True, False)

    def accept(self) -> Stream | None:
        """Return the next new connection, or None if there is none."""
        try:
            sock, _ = self._sock.accept()
        except OSError as exc:
            if exc.errno in _LACKING:
                self._pause(exc)
            else:
                self._resume()
            return None
        self._resume()
        return Stream(sock, self._poller, self._owner)

    def _pause(self, exc: OSError) -> None:
        """Accept nothing for a while; log the first of several pauses."""
        if self._next_attempt is None:
            address = f'{self.address[0]}:{self.address[1]}'
            self._log.emit(
                core.LogEvent.ACCEPT_PAUSED,
                address=address,
                why=exc.strerror,
            )
            self._poller.watch(self.fileno, self._owner, False, False)
        else:
            self._poller.cancel_report(self._next_attempt)
        self._next_attempt = self._poller.report_after(
            ACCEPT_PAUSE_S, self.fileno, self._owner
        )

    def _resume(self) -> None:
        """Watch the listener again if it was paused."""
        if self._next_attempt is None:
            return
        self._poller.cancel_report(self._next_attempt)
        self._next_attempt = None
        self._poller.watch(self.fileno, self._owner, True, False)
        self._log.emit(core.LogEvent.ACCEPT_RESUMED)

    def close(self) -> None:
        """Stop listening."""
        if self.fileno < 0:
            return
        if self._next_attempt is not None:
            self._poller.cancel_report(self._next_attempt)
            self._next_attempt = None
        self._poller.forget(self.fileno)
        self._sock.close()
        self.fileno = -1


def connect(
    address: Address, poller: poller_module.Poller, owner: core.TaskName
) -> Stream | None:
    """Start to connect; return None if that fails at once."""
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError:
        # There is no descriptor left.
        return None
    sock.setblocking(False)
    try:
        error_number = sock.connect_ex(address)
    except (OSError, OverflowError, UnicodeError):
        # The host cannot be resolved or the port is out of range.
        sock.close()
        return None
    if error_number not in (0, errno.EINPROGRESS):
        sock.close()
        return None
    return Stream(sock, poller, owner, connecting=error_number != 0)
