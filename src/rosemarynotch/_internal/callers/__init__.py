"""HTTP for callers."""
