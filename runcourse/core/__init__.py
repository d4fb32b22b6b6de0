"""The core: state machines without input, output or clock."""
