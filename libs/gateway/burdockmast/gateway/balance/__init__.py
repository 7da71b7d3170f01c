"""Balances the requests of availability zones over all zones."""
