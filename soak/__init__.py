"""Soak test: random faults against node processes, checked externally."""
