"""Jobs of many organisations on pools of workers.

Every node accepts jobs (:mod:`job_api`, :mod:`intake`). One of them leads: it
starts their tasks on workers and keeps their progress (:mod:`controller`).
What has to last is in the store; what the leader knows of runs it learns
from the workers.
"""
