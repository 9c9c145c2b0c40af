"""Private implementation."""
