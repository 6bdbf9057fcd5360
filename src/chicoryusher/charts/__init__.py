"""State charts (state machines) in files, and their interpreter."""

from __future__ import annotations

from chicoryusher.charts import diagram
from chicoryusher.charts import interpreter
from chicoryusher.charts import model
from chicoryusher.charts.diagram import *  # noqa: F403
from chicoryusher.charts.interpreter import *  # noqa: F403
from chicoryusher.charts.model import *  # noqa: F403

__all__ = diagram.__all__ + interpreter.__all__ + model.__all__
