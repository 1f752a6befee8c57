Feature: Watches of the resources in force

  Scenario: A reader that is interrupted after any event misses no change
    Then an api watch resumed after any interruption yields the resources in force

  Scenario: A watch of one kind gives the version to resume from
    Then an api watch of one kind resumes like a watch of all kinds

  Scenario: A watch without changes sends a bookmark
    Given an api feed at generation 3
    When nothing changes for the bookmark interval on the api watch from 3
    Then the api watch yields a bookmark of generation 3

  Scenario: A watch of a reader that falls too far behind ends
    Given an api feed at generation 3
    When 70 generations pass before the api watch from 3 is read again
    Then the api watch ends with a gone event

  Scenario: A feed keeps a bounded number of events
    Given an api feed at generation 3
    When each of 30 generations changes 1000 resources of the api feed
    Then the api feed cannot resume from 3 but from the generation before last

  Scenario: The number of watches is limited, and a closed one no longer counts
    Given an api served on loopback with a limit of 1 watch
    When an api watch is open on loopback
    Then another api watch is refused with 429 on loopback
    And a change reaches the open api watch on loopback
    And after it is closed another api watch is accepted on loopback

  Scenario: The API is served over TLS
    Given an api served on loopback with a certificate
    Then a client that trusts the certificate can read its status over TLS
    And the api on loopback does not answer plain HTTP
