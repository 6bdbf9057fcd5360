"""Decisions: pure functions and small objects that do no I/O."""

from __future__ import annotations

from chicoryusher.decisions import admission
from chicoryusher.decisions import bulk_queue
from chicoryusher.decisions import caller_limits
from chicoryusher.decisions import change_estimate
from chicoryusher.decisions import config_pointers
from chicoryusher.decisions import configuration
from chicoryusher.decisions import conn_owners
from chicoryusher.decisions import conn_setup
from chicoryusher.decisions import conn_shares
from chicoryusher.decisions import deadlines
from chicoryusher.decisions import evidence
from chicoryusher.decisions import exchange_graph
from chicoryusher.decisions import failover
from chicoryusher.decisions import fair_queue
from chicoryusher.decisions import fence_round
from chicoryusher.decisions import fencing
from chicoryusher.decisions import gate_directory
from chicoryusher.decisions import gates
from chicoryusher.decisions import group_health
from chicoryusher.decisions import handshakes
from chicoryusher.decisions import heartbeat_targets
from chicoryusher.decisions import held_bytes
from chicoryusher.decisions import idempotency
from chicoryusher.decisions import instance_evidence
from chicoryusher.decisions import instance_pace
from chicoryusher.decisions import judge_replies
from chicoryusher.decisions import leader_claim
from chicoryusher.decisions import leader_digest
from chicoryusher.decisions import lease_grants
from chicoryusher.decisions import limit_allowances
from chicoryusher.decisions import limit_buckets
from chicoryusher.decisions import limit_following
from chicoryusher.decisions import limit_shares
from chicoryusher.decisions import membership
from chicoryusher.decisions import outliers
from chicoryusher.decisions import owner_silence
from chicoryusher.decisions import paced_selection
from chicoryusher.decisions import primary_lease
from chicoryusher.decisions import primary_positions
from chicoryusher.decisions import probe_pace
from chicoryusher.decisions import promotion_orders
from chicoryusher.decisions import reader_selection
from chicoryusher.decisions import register
from chicoryusher.decisions import retry
from chicoryusher.decisions import session_tokens
from chicoryusher.decisions import staleness
from chicoryusher.decisions import store_eras
from chicoryusher.decisions import store_pollers
from chicoryusher.decisions import team_conns
from chicoryusher.decisions import team_rights
from chicoryusher.decisions import vm_listing
from chicoryusher.decisions import vm_liveness
from chicoryusher.decisions import work_queue
from chicoryusher.decisions import zones
from chicoryusher.decisions.admission import *  # noqa: F403
from chicoryusher.decisions.bulk_queue import *  # noqa: F403
from chicoryusher.decisions.caller_limits import *  # noqa: F403
from chicoryusher.decisions.change_estimate import *  # noqa: F403
from chicoryusher.decisions.config_pointers import *  # noqa: F403
from chicoryusher.decisions.configuration import *  # noqa: F403
from chicoryusher.decisions.conn_owners import *  # noqa: F403
from chicoryusher.decisions.conn_setup import *  # noqa: F403
from chicoryusher.decisions.conn_shares import *  # noqa: F403
from chicoryusher.decisions.deadlines import *  # noqa: F403
from chicoryusher.decisions.evidence import *  # noqa: F403
from chicoryusher.decisions.exchange_graph import *  # noqa: F403
from chicoryusher.decisions.failover import *  # noqa: F403
from chicoryusher.decisions.fair_queue import *  # noqa: F403
from chicoryusher.decisions.fence_round import *  # noqa: F403
from chicoryusher.decisions.fencing import *  # noqa: F403
from chicoryusher.decisions.gate_directory import *  # noqa: F403
from chicoryusher.decisions.gates import *  # noqa: F403
from chicoryusher.decisions.group_health import *  # noqa: F403
from chicoryusher.decisions.handshakes import *  # noqa: F403
from chicoryusher.decisions.heartbeat_targets import *  # noqa: F403
from chicoryusher.decisions.held_bytes import *  # noqa: F403
from chicoryusher.decisions.idempotency import *  # noqa: F403
from chicoryusher.decisions.instance_evidence import *  # noqa: F403
from chicoryusher.decisions.instance_pace import *  # noqa: F403
from chicoryusher.decisions.judge_replies import *  # noqa: F403
from chicoryusher.decisions.leader_claim import *  # noqa: F403
from chicoryusher.decisions.leader_digest import *  # noqa: F403
from chicoryusher.decisions.lease_grants import *  # noqa: F403
from chicoryusher.decisions.limit_allowances import *  # noqa: F403
from chicoryusher.decisions.limit_buckets import *  # noqa: F403
from chicoryusher.decisions.limit_following import *  # noqa: F403
from chicoryusher.decisions.limit_shares import *  # noqa: F403
from chicoryusher.decisions.membership import *  # noqa: F403
from chicoryusher.decisions.outliers import *  # noqa: F403
from chicoryusher.decisions.owner_silence import *  # noqa: F403
from chicoryusher.decisions.paced_selection import *  # noqa: F403
from chicoryusher.decisions.primary_lease import *  # noqa: F403
from chicoryusher.decisions.primary_positions import *  # noqa: F403
from chicoryusher.decisions.probe_pace import *  # noqa: F403
from chicoryusher.decisions.promotion_orders import *  # noqa: F403
from chicoryusher.decisions.reader_selection import *  # noqa: F403
from chicoryusher.decisions.register import *  # noqa: F403
from chicoryusher.decisions.retry import *  # noqa: F403
from chicoryusher.decisions.routing import GroupHints
from chicoryusher.decisions.routing import InstanceHints
from chicoryusher.decisions.routing import POLICIES as ROUTING_POLICIES
from chicoryusher.decisions.routing import Route
from chicoryusher.decisions.routing import RouteRequirement
from chicoryusher.decisions.scheduling import DEFAULT_QUEUE_POLICY
from chicoryusher.decisions.scheduling import POLICIES as QUEUE_POLICIES
from chicoryusher.decisions.scheduling import QueuedRequest
from chicoryusher.decisions.scheduling import QueuePolicy
from chicoryusher.decisions.scheduling import Rejection
from chicoryusher.decisions.scheduling import ServiceTimes
from chicoryusher.decisions.session_tokens import *  # noqa: F403
from chicoryusher.decisions.staleness import *  # noqa: F403
from chicoryusher.decisions.store_eras import *  # noqa: F403
from chicoryusher.decisions.store_pollers import *  # noqa: F403
from chicoryusher.decisions.team_conns import *  # noqa: F403
from chicoryusher.decisions.team_rights import *  # noqa: F403
from chicoryusher.decisions.vm_listing import *  # noqa: F403
from chicoryusher.decisions.vm_liveness import *  # noqa: F403
from chicoryusher.decisions.work_queue import *  # noqa: F403
from chicoryusher.decisions.zones import *  # noqa: F403

__all__ = [
    *admission.__all__,
    *bulk_queue.__all__,
    *caller_limits.__all__,
    *change_estimate.__all__,
    *configuration.__all__,
    *gate_directory.__all__,
    *evidence.__all__,
    *fair_queue.__all__,
    *fence_round.__all__,
    *fencing.__all__,
    *staleness.__all__,
    *gates.__all__,
    *conn_owners.__all__,
    *group_health.__all__,
    *idempotency.__all__,
    *instance_pace.__all__,
    *membership.__all__,
    *outliers.__all__,
    *owner_silence.__all__,
    *paced_selection.__all__,
    *heartbeat_targets.__all__,
    *config_pointers.__all__,
    *register.__all__,
    *retry.__all__,
    *primary_lease.__all__,
    *instance_evidence.__all__,
    *judge_replies.__all__,
    *leader_claim.__all__,
    *leader_digest.__all__,
    *lease_grants.__all__,
    *limit_allowances.__all__,
    *limit_buckets.__all__,
    *limit_following.__all__,
    *limit_shares.__all__,
    *store_eras.__all__,
    *store_pollers.__all__,
    *team_conns.__all__,
    *team_rights.__all__,
    *vm_listing.__all__,
    *vm_liveness.__all__,
    *exchange_graph.__all__,
    *handshakes.__all__,
    *held_bytes.__all__,
    *primary_positions.__all__,
    *probe_pace.__all__,
    *promotion_orders.__all__,
    *reader_selection.__all__,
    *conn_shares.__all__,
    *deadlines.__all__,
    *failover.__all__,
    *conn_setup.__all__,
    *work_queue.__all__,
    *zones.__all__,
    *session_tokens.__all__,
    'DEFAULT_QUEUE_POLICY',
    'GroupHints',
    'InstanceHints',
    'QueuedRequest',
    'QUEUE_POLICIES',
    'QueuePolicy',
    'ROUTING_POLICIES',
    'Route',
    'ServiceTimes',
    'Rejection',
    'RouteRequirement',
]
