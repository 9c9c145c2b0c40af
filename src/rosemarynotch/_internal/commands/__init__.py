"""Operator commands, imported on use."""
