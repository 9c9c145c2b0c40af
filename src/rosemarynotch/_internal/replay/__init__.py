"""Replays recorded requests, generates load and runs trials."""
