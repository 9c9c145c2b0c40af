"""Composition of the processes from their parts."""
