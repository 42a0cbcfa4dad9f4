case "a kiosk books" {
  sql  = "INSERT INTO bookings (bay, car) VALUES (7, 'AB-123')"
  user = "kiosk-7"
  database = "songshan"
  expect {
    rule   = "booking"
    class  = "book-bay"
    tenant = "songshan"
    wait   = "3000ms"
  }
}

case "a write within a query" {
  sql  = "WITH taken AS (UPDATE bays SET free = false WHERE id = 7 RETURNING id) SELECT * FROM taken"
  user = "desk"
  expect {
    rule = "booking"
    wait = "5000ms"
  }
}

case "rows that are locked" {
  sql = "SELECT * FROM bays WHERE id = 7 FOR SHARE"
  expect {
    class = "book-bay"
  }
}

case "a function that writes" {
  sql = "SELECT Book (7, 'AB-123')"
  expect {
    rule  = "functions that write"
    class = "book-bay"
  }
}

case "a traveller's trips" {
  sql = "SELECT t.at FROM public.trips AS t JOIN bays b ON b.id = t.bay"
  expect {
    class = "trip-history"
  }
}

case "a quoted word is no write" {
  sql = "SELECT 'DELETE' FROM \"bays\" -- UPDATE"
  expect {
    rule  = "status"
    class = "bay-status"
  }
}

case "what nobody thought of" {
  sql = "EXPLAIN SELECT 1"
  expect {
    rule  = "rest"
    class = "book-bay"
  }
}
