"""Sessions of callers, and how their statements get to instances."""
