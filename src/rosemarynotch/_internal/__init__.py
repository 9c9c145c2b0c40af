"""Implementation, which is not part of the public interface."""
