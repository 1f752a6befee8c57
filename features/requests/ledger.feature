Feature: The at-most-once ledger of a flow

  Scenario: A ledger never forgets a request id it has marked
    Then requests ledger property: marked ids stay used whatever is marked or merged later

  Scenario: A ledger does not invent used ids inside its window
    Then requests ledger property: ids never marked are unused while inside the window
