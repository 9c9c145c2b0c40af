"""Demonstration of both example environments, over loopback."""
