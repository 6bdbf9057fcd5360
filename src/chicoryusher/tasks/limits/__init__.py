"""Limits of teams that all VMs share.

The limiter asks for this VM's operations, and the limit keeper grants them to
its followers.
"""
