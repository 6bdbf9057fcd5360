"""MySQL protocol encodings used towards callers and instances."""

from __future__ import annotations

from chicoryusher.wire import auth
from chicoryusher.wire import framing
from chicoryusher.wire import gtid
from chicoryusher.wire import handshake
from chicoryusher.wire import responses
from chicoryusher.wire.auth import *  # noqa: F403
from chicoryusher.wire.framing import *  # noqa: F403
from chicoryusher.wire.gtid import *  # noqa: F403
from chicoryusher.wire.handshake import *  # noqa: F403
from chicoryusher.wire.responses import *  # noqa: F403

__all__ = (
    responses.__all__
    + auth.__all__
    + framing.__all__
    + handshake.__all__
    + gtid.__all__
)
