"""One stream between two VMs: frames, authentication, compression."""

from __future__ import annotations

import collections
import enum
import hashlib
import hmac
import secrets
import struct

import msgpack
import zstandard

from chicoryusher import core
from chicoryusher import runtime
from chicoryusher.peers import codec

__all__ = ['PeerStream', 'StreamRole', 'Traffic']

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 32 * 1024 * 1024
MAX_HELLO_BYTES = 1024
MIN_COMPRESSED_BYTES = 256
BULK_HIGH_WATER_BYTES = 128 * 1024
COMPRESSION_LEVEL = 3
NONCE_BYTES = 16
_HEAD = struct.Struct('>IB')
_COMPRESSED = 1


class StreamRole(enum.Enum):
    """Which end opened the stream."""

    CALLING = 'calling'
    CALLED = 'called'


class Traffic(enum.Enum):
    """Purpose of bytes on a peer stream, for counting."""

    CONTROL = 'control'
    STATEMENTS = 'statements'


_CONTROL = (core.Heartbeat, core.ConfigFetch, core.ConfigOffer)


class PeerStream:
    """Protocol state of one peer stream; its task does the I/O.

    Each end sends a nonce and then proves with a keyed digest that it
    has the cluster's key.  Short messages go ahead of chunks of results.
    """

    def __init__(
        self,
        stream: runtime.Stream,
        own: core.VmName,
        key: bytes,
        role: StreamRole,
        opened_at: float,
    ) -> None:
        self.stream = stream
        self.role = role
        self.peer: core.VmName | None = None
        self.opened_at = opened_at
        self.sent: collections.Counter[Traffic] = collections.Counter()
        self._own = own
        self._key = key
        self._nonce = secrets.token_bytes(NONCE_BYTES)
        self._proved = False
        self._buffer = bytearray()
        self._short: list[tuple[Traffic, bytes]] = []
        self._bulk: collections.deque[bytes] = collections.deque()
        self._zip = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL)
        self._unzip = zstandard.ZstdDecompressor()
        self._frame(msgpack.packb([PROTOCOL_VERSION, self._own, self._nonce]))

    @property
    def ready(self) -> bool:
        """Tell whether the other end has proved who it is."""
        return self.peer is not None

    def send(self, message: core.Message) -> None:
        """Queue a message; ``flush`` sends what is queued."""
        data = codec.encode(message)
        if isinstance(message, core.ResultChunk):
            self._bulk.append(data)
            return
        control = isinstance(message, _CONTROL)
        traffic = Traffic.CONTROL if control else Traffic.STATEMENTS
        self._short.append((traffic, data))

    def flush(self) -> None:
        """Send queued messages, short ones first, in one frame."""
        if self.ready and self._short:
            self._frame(b''.join(data for _, data in self._short))
            for traffic, data in self._short:
                self.sent[traffic] += len(data)
            self._short.clear()
        while self.ready and self._bulk:
            if self.stream.pending > BULK_HIGH_WATER_BYTES:
                break
            data = self._bulk.popleft()
            self.sent[Traffic.STATEMENTS] += len(data)
            self._frame(data)
        self.stream.flush()

    def receive(self, data: bytes) -> list[core.Message]:
        """Take in bytes; FrameError or AuthError if they are bad."""
        self._buffer += data
        messages: list[core.Message] = []
        while len(self._buffer) >= _HEAD.size:
            size, flags = _HEAD.unpack_from(self._buffer)
            limit = MAX_FRAME_BYTES if self.ready else MAX_HELLO_BYTES
            if size > limit:
                raise core.FrameError(f'frame of {size} bytes')
            end = _HEAD.size + size
            if len(self._buffer) < end:
                break
            body = bytes(self._buffer[_HEAD.size : end])
            del self._buffer[:end]
            if flags & _COMPRESSED:
                body = self._expand(body)
            if self.ready:
                messages += codec.unpack_frame(body)
            else:
                self._handshake(body)
        return messages

    def _expand(self, body: bytes) -> bytes:
        try:
            return self._unzip.decompress(
                body, max_output_size=MAX_FRAME_BYTES
            )
        except zstandard.ZstdError as exc:
            raise core.FrameError('frame cannot be expanded') from exc

    def _handshake(self, body: bytes) -> None:
        try:
            value = msgpack.unpackb(body)
        except (ValueError, msgpack.exceptions.UnpackException) as exc:
            raise core.FrameError('malformed handshake') from exc
        if not self._proved:
            self._greeted(value)
            return
        digest = self._digest(self._claimed, self._own, self._nonce)
        if not isinstance(value, bytes):
            raise core.FrameError('malformed proof')
        if not hmac.compare_digest(digest, value):
            raise core.AuthError('the peer does not have the key')
        self.peer = self._claimed

    def _greeted(self, value: object) -> None:
        if not isinstance(value, list) or len(value) < 3:
            raise core.FrameError('malformed greeting')
        version, name, nonce = value[:3]
        if version != PROTOCOL_VERSION:
            raise core.FrameError(f'protocol version {version!r}')
        if not isinstance(name, str) or not isinstance(nonce, bytes):
            raise core.FrameError('malformed greeting')
        self._claimed = core.VmName(name)
        self._proved = True
        self._frame(
            msgpack.packb(self._digest(self._own, self._claimed, nonce))
        )

    def _digest(
        self, prover: core.VmName, verifier: core.VmName, nonce: bytes
    ) -> bytes:
        other = StreamRole.CALLED
        if self.role is StreamRole.CALLED:
            other = StreamRole.CALLING
        role = self.role if prover == self._own else other
        text = f'{role.value}\0{prover}\0{verifier}\0'.encode()
        return hmac.new(self._key, text + nonce, hashlib.sha256).digest()

    def _frame(self, body: bytes) -> None:
        flags = 0
        if len(body) >= MIN_COMPRESSED_BYTES:
            smaller = self._zip.compress(body)
            if len(smaller) < len(body):
                body, flags = smaller, _COMPRESSED
        self.stream.write(_HEAD.pack(len(body), flags) + body)
