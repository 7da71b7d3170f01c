"""A small specification of the core protocol, checked exhaustively.

Each module describes one protocol as a state machine for the model checker
``minicheck``. Its guards are flags, so that a test can take each one out and
see the checker find the fault that the guard is there for.
"""
