"""Stand-ins for the platform and the database groups, for tests."""
