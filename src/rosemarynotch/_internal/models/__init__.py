"""Data models: documents, records and messages, and their encoding."""
