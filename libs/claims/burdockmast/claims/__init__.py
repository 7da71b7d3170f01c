"""At-most-once execution, with claims recorded in journals."""
