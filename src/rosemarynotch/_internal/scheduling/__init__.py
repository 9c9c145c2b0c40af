"""Scheduling of jobs of multiple organisations on pools of workers.

Every node accepts jobs (:mod:`job_api`, :mod:`intake`). One node is the
leader: it starts the tasks on workers and records their progress
(:mod:`controller`). Durable state is kept in the store; the state of runs is
obtained from the workers.
"""
