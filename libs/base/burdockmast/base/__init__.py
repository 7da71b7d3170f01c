"""What every part shares: ids, outcomes, failures, time and records."""
