"""Test doubles of the platform and the database groups."""
