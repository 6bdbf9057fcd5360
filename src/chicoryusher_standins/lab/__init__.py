"""Experiments on the virtual clock with the real tasks."""
