"""At-most-once execution, by claims kept in journals."""
