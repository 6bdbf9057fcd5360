"""Limits of teams that all VMs share.

The limiter asks for this VM's operations, the limit keeper grants them to
its followers, and the dispatcher's attempts wait for them.
"""
