"""Clients of the platform: store, VMs, tasks."""
