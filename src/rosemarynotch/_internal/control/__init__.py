"""Steps on the fleet record: waves, moves, failures and jobs."""
