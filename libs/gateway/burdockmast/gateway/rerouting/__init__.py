"""Moves running answers to other servers, stage by stage."""
