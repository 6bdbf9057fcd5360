"""Experiments that run the real tasks on a virtual clock."""
