; Operators' own settings, beyond the platform's file. Every setting may be left
; out; docs/operations.md lists them all with their defaults.
(runcourse)
