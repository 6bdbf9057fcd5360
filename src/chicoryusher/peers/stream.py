"""Protocol of one stream between two VMs.

It covers framing, mutual authentication and compression.  A frame is its
length in bytes (4), flags (1) and a body.  The first two frames of each
end are the handshake: a greeting and a proof of the cluster's key.
"""

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
MAX_HANDSHAKE_FRAME_BYTES = 1024
MIN_BYTES_TO_COMPRESS = 256
RESULT_HIGH_WATER_BYTES = 128 * 1024
ZSTD_LEVEL = 3
NONCE_BYTES = 16
# Place of the process id in a greeting; older releases send none.
PROCESS_FIELD = 3
_FRAME_HEADER = struct.Struct('>IB')
_FLAG_COMPRESSED = 1
# Frames are compressed one by one without a shared history, so one context
# serves every stream; a context holds some 0.2 MB.
_COMPRESSOR = zstandard.ZstdCompressor(level=ZSTD_LEVEL)
_DECOMPRESSOR = zstandard.ZstdDecompressor()


class StreamRole(enum.Enum):
    """Whether this end opened the stream or accepted it."""

    INITIATOR = 'calling'
    ACCEPTOR = 'called'


class Traffic(enum.Enum):
    """Purpose of bytes on a peer stream, by which they are counted."""

    # Heartbeats and distribution of the configuration.
    CONTROL = 'control'
    # All other messages: statements, their results and coordination.
    STATEMENTS = 'statements'


_CONTROL_MESSAGES = (
    core.Heartbeat,
    core.FetchConfig,
    core.ConfigOffer,
    core.AskConfigAge,
    core.ConfigAge,
)


class PeerStream:
    """Protocol state of one peer stream; its task does the I/O.

    Each end sends a nonce.  Each answers the other's nonce with a keyed
    digest (HMAC-SHA-256), which proves that it has the cluster's key.
    Short messages are sent before chunks of results, so that bulk data
    does not delay them.  ``peer`` is the name of the other VM once it is
    authenticated.  ``peer_process`` tells its process from an earlier one of
    that VM; it is None for a VM of an older release, which does not send it.
    """

    def __init__(
        self,
        stream: runtime.Stream,
        own_vm: core.VmName,
        own_process: core.PeerProcessId,
        key: bytes,
        role: StreamRole,
        opened_at: float,
    ) -> None:
        self.stream = stream
        self.role = role
        self.peer: core.VmName | None = None
        self.peer_process: core.PeerProcessId | None = None
        self.opened_at = opened_at
        self.bytes_sent: collections.Counter[Traffic] = collections.Counter()
        self._own_vm = own_vm
        self._key = key
        self._nonce = secrets.token_bytes(NONCE_BYTES)
        self._proof_sent = False
        self._buffer = bytearray()
        self._short_messages: list[tuple[Traffic, bytes]] = []
        self._result_chunks: collections.deque[bytes] = collections.deque()
        self._write_frame(
            msgpack.packb(
                [PROTOCOL_VERSION, self._own_vm, self._nonce, own_process]
            )
        )

    @property
    def authenticated(self) -> bool:
        """Whether the other end has proved that it has the key."""
        return self.peer is not None

    def send(self, message: core.Message) -> None:
        """Queue a message; ``flush`` sends it."""
        data = codec.encode(message)
        if isinstance(message, core.ResultChunk):
            self._result_chunks.append(data)
            return
        control = isinstance(message, _CONTROL_MESSAGES)
        traffic = Traffic.CONTROL if control else Traffic.STATEMENTS
        self._short_messages.append((traffic, data))

    def send_document(self, message: core.Message) -> int:
        """Send a message in a frame of its own; return the frame's bytes.

        The stream must be authenticated.
        """
        data = codec.encode(message)
        self.bytes_sent[Traffic.STATEMENTS] += len(data)
        return self._write_frame(data)

    def flush(self) -> None:
        """Send queued messages: short ones in one frame, then results.

        Chunks of results stay queued while the socket's output buffer is
        above its high-water mark, or until the peer is authenticated.
        """
        if self.authenticated and self._short_messages:
            self._write_frame(
                b''.join(data for _, data in self._short_messages)
            )
            for traffic, data in self._short_messages:
                self.bytes_sent[traffic] += len(data)
            self._short_messages.clear()
        while self.authenticated and self._result_chunks:
            if self.stream.pending > RESULT_HIGH_WATER_BYTES:
                break
            data = self._result_chunks.popleft()
            self.bytes_sent[Traffic.STATEMENTS] += len(data)
            self._write_frame(data)
        self.stream.flush()

    def receive(self, data: bytes) -> list[core.Message]:
        """Add received bytes and return the messages they complete.

        Raise FrameError for a malformed frame and AuthError for a peer
        without the cluster's key.
        """
        self._buffer += data
        messages: list[core.Message] = []
        while len(self._buffer) >= _FRAME_HEADER.size:
            size, flags = _FRAME_HEADER.unpack_from(self._buffer)
            limit = (
                MAX_FRAME_BYTES
                if self.authenticated
                else MAX_HANDSHAKE_FRAME_BYTES
            )
            if size > limit:
                raise core.FrameError(f'frame of {size} bytes')
            end = _FRAME_HEADER.size + size
            if len(self._buffer) < end:
                break
            body = bytes(self._buffer[_FRAME_HEADER.size : end])
            del self._buffer[:end]
            if flags & _FLAG_COMPRESSED:
                body = self._decompress(body, limit)
            if self.authenticated:
                messages += codec.unpack_frame(body)
            else:
                self._handshake(body)
        return messages

    def _decompress(self, body: bytes, limit: int) -> bytes:
        """Return the expanded body, which has at most ``limit`` bytes.

        The decompressor's own limit holds only for a frame that does not
        state its size.
        """
        try:
            if zstandard.frame_content_size(body) > limit:
                raise core.FrameError(
                    f'compressed frame of over {limit} bytes'
                )
            return _DECOMPRESSOR.decompress(body, max_output_size=limit)
        except zstandard.ZstdError as exc:
            raise core.FrameError('frame cannot be decompressed') from exc

    def _handshake(self, body: bytes) -> None:
        """Handle the peer's greeting, and then its proof of the key."""
        try:
            value = msgpack.unpackb(body)
        except (ValueError, msgpack.exceptions.UnpackException) as exc:
            raise core.FrameError('malformed handshake') from exc
        if not self._proof_sent:
            self._handle_greeting(value)
            return
        digest = self._auth_digest(self._claimed_vm, self._own_vm, self._nonce)
        if not isinstance(value, bytes):
            raise core.FrameError('malformed proof')
        if not hmac.compare_digest(digest, value):
            raise core.AuthError('the peer does not have the key')
        self.peer = self._claimed_vm

    def _handle_greeting(self, value: object) -> None:
        """Check the peer's greeting and answer its nonce."""
        if not isinstance(value, list) or len(value) < 3:
            raise core.FrameError('malformed greeting')
        version, name, nonce = value[:3]
        if type(version) is not int:
            raise core.FrameError('malformed greeting')
        if version != PROTOCOL_VERSION:
            raise core.FrameError(f'unsupported protocol version {version}')
        if not isinstance(name, str) or not isinstance(nonce, bytes):
            raise core.FrameError('malformed greeting')
        if len(value) > PROCESS_FIELD:
            process = value[PROCESS_FIELD]
            if not isinstance(process, bytes):
                raise core.FrameError('malformed greeting')
            self.peer_process = core.PeerProcessId(process)
        self._claimed_vm = core.VmName(name)
        self._proof_sent = True
        self._write_frame(
            msgpack.packb(
                self._auth_digest(self._own_vm, self._claimed_vm, nonce)
            )
        )

    def _auth_digest(
        self, prover: core.VmName, verifier: core.VmName, nonce: bytes
    ) -> bytes:
        """Return the proof of the key that ``prover`` owes ``verifier``.

        The digest covers the prover's role, both names and the nonce that
        the verifier sent.
        """
        other_role = StreamRole.ACCEPTOR
        if self.role is StreamRole.ACCEPTOR:
            other_role = StreamRole.INITIATOR
        role = self.role if prover == self._own_vm else other_role
        text = f'{role.value}\0{prover}\0{verifier}\0'.encode()
        return hmac.new(self._key, text + nonce, hashlib.sha256).digest()

    def _write_frame(self, body: bytes) -> int:
        """Write a frame, compressed if that makes it smaller.

        Return its size in bytes.
        """
        flags = 0
        if len(body) >= MIN_BYTES_TO_COMPRESS:
            compressed = _COMPRESSOR.compress(body)
            if len(compressed) < len(body):
                body, flags = compressed, _FLAG_COMPRESSED
        self.stream.write(_FRAME_HEADER.pack(len(body), flags) + body)
        return _FRAME_HEADER.size + len(body)
