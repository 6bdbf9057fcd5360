"""The daemon: settings, composition, admin address, metrics."""
