"""Permits under team limits, queues and dispatch."""
