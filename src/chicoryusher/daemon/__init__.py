"""The daemon: settings, start and stop, admin server, metrics."""
