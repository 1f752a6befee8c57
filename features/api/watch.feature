Feature: Watching the resources in force

  Scenario: A reader that is cut off at any line misses nothing
    Then an api watch resumed after any cut leads to the resources in force

  Scenario: A watch of one kind tells where to resume from
    Then an api watch of any one kind resumes like a watch of all

  Scenario: A silent watch shows that it is alive
    Given an api feed at generation 3
    When nothing changes for a long time on the api watch from 3
    Then the api watch yields a bookmark of generation 3

  Scenario: A reader that falls behind is told so
    Given an api feed at generation 3
    When 70 generations pass before the api watch from 3 is read on
    Then the api watch ends with gone

  Scenario: Memory of a feed is bounded by its events
    Given an api feed at generation 3
    When each of 30 generations changes 1000 resources behind the api feed
    Then the api feed cannot resume from 3 but from the generation before last

  Scenario: Watches are limited, and a closed one makes room
    Given an api served on loopback with room for 1 watch
    When an api watch is open on loopback
    Then another api watch is refused with 429 on loopback
    And a change reaches the open api watch on loopback
    And after it is closed another api watch is taken on loopback

  Scenario: The API is served over TLS
    Given an api served on loopback with a certificate
    Then its status can be read over TLS by who trusts the certificate
    And plain HTTP is not answered by the api on loopback
