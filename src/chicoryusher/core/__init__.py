"""Core types: ids, states, messages, errors, clocks, registries."""

from __future__ import annotations

from chicoryusher.core import catalogue
from chicoryusher.core import clock
from chicoryusher.core import control
from chicoryusher.core import enums
from chicoryusher.core import errors
from chicoryusher.core import exchanging
from chicoryusher.core import forwarding
from chicoryusher.core import ids
from chicoryusher.core import messages
from chicoryusher.core import metrics
from chicoryusher.core import peering
from chicoryusher.core import placement
from chicoryusher.core import pooling
from chicoryusher.core import position
from chicoryusher.core import registry
from chicoryusher.core import stewardship
from chicoryusher.core.catalogue import *  # noqa: F403
from chicoryusher.core.clock import *  # noqa: F403
from chicoryusher.core.control import *  # noqa: F403
from chicoryusher.core.enums import *  # noqa: F403
from chicoryusher.core.errors import *  # noqa: F403
from chicoryusher.core.exchanging import *  # noqa: F403
from chicoryusher.core.forwarding import *  # noqa: F403
from chicoryusher.core.ids import *  # noqa: F403
from chicoryusher.core.messages import *  # noqa: F403
from chicoryusher.core.metrics import *  # noqa: F403
from chicoryusher.core.peering import *  # noqa: F403
from chicoryusher.core.placement import *  # noqa: F403
from chicoryusher.core.pooling import *  # noqa: F403
from chicoryusher.core.position import *  # noqa: F403
from chicoryusher.core.registry import *  # noqa: F403
from chicoryusher.core.stewardship import *  # noqa: F403

__all__ = (
    catalogue.__all__
    + clock.__all__
    + control.__all__
    + enums.__all__
    + errors.__all__
    + exchanging.__all__
    + forwarding.__all__
    + ids.__all__
    + messages.__all__
    + metrics.__all__
    + peering.__all__
    + placement.__all__
    + pooling.__all__
    + position.__all__
    + registry.__all__
    + stewardship.__all__
)
