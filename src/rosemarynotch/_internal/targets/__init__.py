"""Connections to targets, routing and ejection."""
