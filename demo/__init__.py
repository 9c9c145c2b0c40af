"""Runs both example environments on this machine, over loopback."""
