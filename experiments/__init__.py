"""Experiments with real processes on stand-ins, over loopback."""
