"""Replay of recorded requests, and generated load."""
