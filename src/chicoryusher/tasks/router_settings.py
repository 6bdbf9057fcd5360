"""Settings of one VM's router."""

from __future__ import annotations

import dataclasses

from chicoryusher import core
from chicoryusher import decisions

__all__ = ['RouterSettings']


@dataclasses.dataclass(frozen=True, slots=True)
class RouterSettings:
    """Settings of one VM's router.

    Tokens are signed with ``token_key``; those signed with one of
    ``old_token_keys`` are accepted too.  ``policy`` is the routing
    policy, ``placement`` the policy that assigns instances to gates.
    """

    zone: core.ZoneName
    token_key: bytes = dataclasses.field(repr=False)
    old_token_keys: tuple[bytes, ...] = dataclasses.field(
        default=(), repr=False
    )
    policy: str = 'nearest_fresh_replica'
    placement: str = decisions.DEFAULT_GATE_PLACEMENT
