"""The composition root."""
