"""Decisions: pure functions and small objects that do no I/O."""

from __future__ import annotations

from chicoryusher.decisions import admission
from chicoryusher.decisions import authority
from chicoryusher.decisions import claiming
from chicoryusher.decisions import configuration
from chicoryusher.decisions import directory
from chicoryusher.decisions import evidence
from chicoryusher.decisions import fencing
from chicoryusher.decisions import freshness
from chicoryusher.decisions import gates
from chicoryusher.decisions import holders
from chicoryusher.decisions import leadership
from chicoryusher.decisions import ledger
from chicoryusher.decisions import membership
from chicoryusher.decisions import neighbours
from chicoryusher.decisions import newcomers
from chicoryusher.decisions import observing
from chicoryusher.decisions import pointers
from chicoryusher.decisions import reading
from chicoryusher.decisions import register
from chicoryusher.decisions import retry
from chicoryusher.decisions import sessions
from chicoryusher.decisions import shares
from chicoryusher.decisions import succession
from chicoryusher.decisions import suiting
from chicoryusher.decisions import waiting
from chicoryusher.decisions import zones
from chicoryusher.decisions.admission import *  # noqa: F403
from chicoryusher.decisions.authority import *  # noqa: F403
from chicoryusher.decisions.claiming import *  # noqa: F403
from chicoryusher.decisions.configuration import *  # noqa: F403
from chicoryusher.decisions.directory import *  # noqa: F403
from chicoryusher.decisions.evidence import *  # noqa: F403
from chicoryusher.decisions.fencing import *  # noqa: F403
from chicoryusher.decisions.freshness import *  # noqa: F403
from chicoryusher.decisions.gates import *  # noqa: F403
from chicoryusher.decisions.holders import *  # noqa: F403
from chicoryusher.decisions.leadership import *  # noqa: F403
from chicoryusher.decisions.ledger import *  # noqa: F403
from chicoryusher.decisions.membership import *  # noqa: F403
from chicoryusher.decisions.neighbours import *  # noqa: F403
from chicoryusher.decisions.newcomers import *  # noqa: F403
from chicoryusher.decisions.observing import *  # noqa: F403
from chicoryusher.decisions.pointers import *  # noqa: F403
from chicoryusher.decisions.reading import *  # noqa: F403
from chicoryusher.decisions.register import *  # noqa: F403
from chicoryusher.decisions.retry import *  # noqa: F403
from chicoryusher.decisions.routing import GroupView
from chicoryusher.decisions.routing import InstanceView
from chicoryusher.decisions.routing import POLICIES as ROUTING
from chicoryusher.decisions.routing import Route
from chicoryusher.decisions.routing import Wanted
from chicoryusher.decisions.scheduling import DEFAULT_POLICY
from chicoryusher.decisions.scheduling import Item
from chicoryusher.decisions.scheduling import POLICIES as QUEUES
from chicoryusher.decisions.scheduling import Queue
from chicoryusher.decisions.scheduling import ServiceTimes
from chicoryusher.decisions.scheduling import Shed
from chicoryusher.decisions.sessions import *  # noqa: F403
from chicoryusher.decisions.shares import *  # noqa: F403
from chicoryusher.decisions.succession import *  # noqa: F403
from chicoryusher.decisions.suiting import *  # noqa: F403
from chicoryusher.decisions.waiting import *  # noqa: F403
from chicoryusher.decisions.zones import *  # noqa: F403

__all__ = [
    *admission.__all__,
    *configuration.__all__,
    *directory.__all__,
    *evidence.__all__,
    *fencing.__all__,
    *freshness.__all__,
    *gates.__all__,
    *holders.__all__,
    *leadership.__all__,
    *ledger.__all__,
    *membership.__all__,
    *neighbours.__all__,
    *pointers.__all__,
    *register.__all__,
    *retry.__all__,
    *authority.__all__,
    *claiming.__all__,
    *newcomers.__all__,
    *observing.__all__,
    *reading.__all__,
    *shares.__all__,
    *succession.__all__,
    *suiting.__all__,
    *waiting.__all__,
    *zones.__all__,
    *sessions.__all__,
    'DEFAULT_POLICY',
    'GroupView',
    'InstanceView',
    'Item',
    'QUEUES',
    'Queue',
    'ROUTING',
    'Route',
    'ServiceTimes',
    'Shed',
    'Wanted',
]
