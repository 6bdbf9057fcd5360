"""Tasks of pooled sessions: desk, lanes, keeper, handovers."""
