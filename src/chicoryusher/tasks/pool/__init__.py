"""Tasks of pooled sessions.

The dispatcher owns sessions, an instance pool owns the connections to one
instance, and the primary manager replaces primaries by handovers.
"""
