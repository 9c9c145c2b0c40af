"""Admission control: team limits, queues and the dispatch of requests."""
