"""What entry instances and side processes have in common."""
