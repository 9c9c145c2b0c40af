"""Clients of the platform: store, VMs, tasks."""

from rosemarynotch._internal.reference.http_store import HttpStore
from rosemarynotch._internal.reference.http_tasks import HttpTaskService
from rosemarynotch._internal.reference.http_vms import HttpVmService

__all__ = ["HttpStore", "HttpTaskService", "HttpVmService"]
