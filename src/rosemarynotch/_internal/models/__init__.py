"""Records, messages and their encoding."""
