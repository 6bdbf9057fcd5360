"""Database groups: their instances, their primaries, and who judges them."""
