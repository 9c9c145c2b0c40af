"""Experiments and generated load."""
