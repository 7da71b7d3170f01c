"""The parts that entry instances and side processes share."""
