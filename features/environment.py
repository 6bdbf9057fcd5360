"""Set up each scenario with its own world on a virtual clock."""

from __future__ import annotations
