"""The document in force and the records every process follows."""
