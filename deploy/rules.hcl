# What statements without the router's comment are, for the three parking classes. Used by:
#   bin/ledgewall serve --rules deploy/rules.hcl deploy/parking.json
# docs/rules.md explains each setting. Try a change with:
#   bin/ledgewall rules test --config deploy/parking.json deploy/rules.hcl deploy/rules-cases.hcl

# Where a statement brings the comment, its fields win; "lose" has rules go first.
comments = "win"

# Named once, computed once a request.
expressions {
  kiosk = "user.startsWith('kiosk-')"
  lot   = "comment[?'lot'].orValue(database)"
}

# Whatever changes data is a booking until a rule says otherwise: it is never sent twice.
rule "booking" {
  match   = "sql.writes"
  class   = "book-bay"
  tenant  = "lot"
  session = "user"
  wait    = "kiosk ? duration('3s') : duration('5s')"
  limit {
    rate       = 20   # a second and key
    burst      = 40
    concurrent = 10
    key        = "user"
  }
}

# No word of these changes data, the functions do; the table has to know them.
rule "functions that write" {
  match   = "sql.text.matches(r'(?i)\\b(book|cancel)\\s*\\(')"
  class   = "book-bay"
  session = "user"
}

rule "history" {
  match = "sql.keyword == 'SELECT' && sql.tables.exists(t, t in ['trips', 'trip_events'])"
  class = "trip-history"
  limit {
    concurrent = 4
    key        = "user"
  }
}

rule "status" {
  match  = "sql.keyword == 'SELECT'"
  class  = "bay-status"
  tenant = "lot"
}

# What is neither seen to write nor a SELECT (SHOW, EXPLAIN, WITH ...) goes where nothing is repeated.
rule "rest" {
  match = "true"
  class = "book-bay"
}
