"""Core types: ids, states, messages, errors, clocks, registries."""

from __future__ import annotations

from chicoryusher.core import clock
from chicoryusher.core import control
from chicoryusher.core import enums
from chicoryusher.core import errors
from chicoryusher.core import forwarding
from chicoryusher.core import ids
from chicoryusher.core import instance_evidence
from chicoryusher.core import json_documents
from chicoryusher.core import limits
from chicoryusher.core import log_events
from chicoryusher.core import messages
from chicoryusher.core import metrics
from chicoryusher.core import peers
from chicoryusher.core import pooling
from chicoryusher.core import position
from chicoryusher.core import primaries
from chicoryusher.core import registry
from chicoryusher.core import revisions
from chicoryusher.core import topology
from chicoryusher.core import views
from chicoryusher.core.clock import *  # noqa: F403
from chicoryusher.core.control import *  # noqa: F403
from chicoryusher.core.enums import *  # noqa: F403
from chicoryusher.core.errors import *  # noqa: F403
from chicoryusher.core.forwarding import *  # noqa: F403
from chicoryusher.core.ids import *  # noqa: F403
from chicoryusher.core.instance_evidence import *  # noqa: F403
from chicoryusher.core.json_documents import *  # noqa: F403
from chicoryusher.core.limits import *  # noqa: F403
from chicoryusher.core.log_events import *  # noqa: F403
from chicoryusher.core.messages import *  # noqa: F403
from chicoryusher.core.metrics import *  # noqa: F403
from chicoryusher.core.peers import *  # noqa: F403
from chicoryusher.core.pooling import *  # noqa: F403
from chicoryusher.core.position import *  # noqa: F403
from chicoryusher.core.primaries import *  # noqa: F403
from chicoryusher.core.registry import *  # noqa: F403
from chicoryusher.core.revisions import *  # noqa: F403
from chicoryusher.core.topology import *  # noqa: F403
from chicoryusher.core.views import *  # noqa: F403

__all__ = (
    log_events.__all__
    + clock.__all__
    + control.__all__
    + enums.__all__
    + errors.__all__
    + views.__all__
    + forwarding.__all__
    + ids.__all__
    + instance_evidence.__all__
    + json_documents.__all__
    + limits.__all__
    + messages.__all__
    + metrics.__all__
    + peers.__all__
    + topology.__all__
    + pooling.__all__
    + position.__all__
    + registry.__all__
    + primaries.__all__
    + revisions.__all__
)
