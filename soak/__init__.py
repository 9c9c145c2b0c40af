"""Randomized faults against real nodes, checked from outside."""
