"""Commands for operators; each module is imported when it is used."""
