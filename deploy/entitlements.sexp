; Organisations that share the machines. In force only where the command line of every controller
; names this file (serve --entitlements deploy/entitlements.sexp) when the store is founded;
; docs/entitlements.md says how to fill it in, and how to change the numbers while serving.
; Each team of the platform's settings belongs to one organisation, for example:
;   (organisation (name "desk") (teams "desk-0" "desk-1") (minimum 64) (weight 2))
;   (organisation (name "lab") (teams "lab-0") (maximum 128))
(entitlements)
