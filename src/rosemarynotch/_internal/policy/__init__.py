"""Decisions behind abstract base classes, each with a baseline."""
