"""Commands for operators; modules are imported only when used."""
