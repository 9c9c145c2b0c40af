"""Clients of the platform's store, VM service and task service."""

from rosemarynotch._internal.reference.http_store import HttpStore
from rosemarynotch._internal.reference.http_tasks import HttpTaskService
from rosemarynotch._internal.reference.http_vms import HttpVmService

__all__ = ["HttpStore", "HttpTaskService", "HttpVmService"]
