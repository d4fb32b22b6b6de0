"""Encoding and decoding of messages; the names of fields on the wire appear only here."""
