"""Encoding and decoding of messages; the outer names of fields appear only in this package."""
