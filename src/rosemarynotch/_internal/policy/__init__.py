"""Exchangeable policies: abstract base classes with a baseline each."""
