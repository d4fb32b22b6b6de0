; Data sources and rebalancing. In force only where the command line names this file
; (serve --locality deploy/locality.sexp); docs/locality.md says how to judge and tune it.
; A source may look so:
;   (source (name "packages") (zones "a") (classes "rebuild")
;           (read-gb 4) (local-rate 1.0) (remote-rate 0.1))
(locality
 (weight 1.0)
 (rebalance true)
 (dry-run true))
