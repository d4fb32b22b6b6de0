"""Spellings of messages, and nothing else knows them."""
