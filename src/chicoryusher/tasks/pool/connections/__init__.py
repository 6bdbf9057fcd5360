"""Connections to instances, and the work that runs on them."""
