"""Measurements, run by hand."""
