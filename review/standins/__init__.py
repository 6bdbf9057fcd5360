"""Stand-ins of callers, instances and the platform for the review's scripts.

They use the standard library only, and follow the users' pages.
"""
