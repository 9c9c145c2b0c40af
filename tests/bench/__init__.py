"""Measurements that are started by hand."""
