"""HTTP for operators and the report."""
