"""Experiments with real processes and stand-ins, over loopback."""
