"""MySQL protocol encodings used towards callers and instances."""

from __future__ import annotations

from chicoryusher.wire import answers
from chicoryusher.wire import auth
from chicoryusher.wire import framing
from chicoryusher.wire import greeting
from chicoryusher.wire import gtid
from chicoryusher.wire.answers import *  # noqa: F403
from chicoryusher.wire.auth import *  # noqa: F403
from chicoryusher.wire.framing import *  # noqa: F403
from chicoryusher.wire.greeting import *  # noqa: F403
from chicoryusher.wire.gtid import *  # noqa: F403

__all__ = (
    answers.__all__
    + auth.__all__
    + framing.__all__
    + greeting.__all__
    + gtid.__all__
)
