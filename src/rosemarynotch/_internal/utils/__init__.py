"""Utilities that are independent of the domain."""
