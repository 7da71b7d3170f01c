"""Admission of requests while servers have too little memory for all."""
