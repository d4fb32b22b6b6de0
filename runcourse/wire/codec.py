"""MessagePack bodies: encoding, decoding, and checks that all messages share."""

from __future__ import annotations

import math
from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta

MAX_BODY = 64 * 1024
CONTENT_TYPE = "application/msgpack"


class Malformed(Exception):
    """A body that is not what the protocol says it is."""


Text = Annotated[str, Meta(min_length=1, max_length=200)]
Amount = Annotated[float, Meta(ge=0, le=1e9)]
Natural = Annotated[int, Meta(ge=0)]

_decoder = msgspec.msgpack.Decoder()
_encoder = msgspec.msgpack.Encoder()
T = TypeVar("T")


def encode(body: Any) -> bytes:
    """A body as MessagePack."""
    return _encoder.encode(body)


def decode_map(body: bytes) -> dict[str, Any]:
    """The map that a body holds; raises `Malformed`."""
    try:
        value = _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        raise Malformed(f"not MessagePack: {problem}") from problem
    if not isinstance(value, dict):
        raise Malformed("not a map")
    # Null equals omitted, so that no description has to name null for each field.
    return {k: v for k, v in value.items() if v is not None and isinstance(k, str)}


def convert(value: Any, kind: type[T]) -> T:
    """The decoded value as a struct; raises `Malformed`."""
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as problem:
        raise Malformed(str(problem)) from problem


def check_finite(*amounts: float) -> None:
    """Raise `Malformed` for amounts that are infinite or not numbers."""
    if not all(math.isfinite(a) for a in amounts):
        raise Malformed("an amount is not finite")
