Feature: Settings are checked whole
  Every finding is reported with its place, and nothing starts before they are gone.

  Scenario: A complete settings file is taken
    Given a runtime settings file that is complete
    Then the runtime settings are taken

  Scenario: All findings are reported together
    Given a runtime settings file that is complete
    When the runtime settings have these values
      | path                                | value     |
      | colour                              | "blue"    |
      | name                                | "a b"     |
      | edge_address                        | "a:1"     |
      | peer_address                        | "0.0.0.0:7" |
      | location.hall                       | ""        |
      | api.tls_key                         | "none.pem" |
      | platform.url                        | "ftp://x" |
      | node.membership.suspect_after_s     | 0.1       |
      | node.routing.policy                 | "best"    |
      | node.routing.replicas               | "three"   |
      | node.health.minimum_available       | 1.5       |
      | node.requests.retry_burst           | -1.0      |
    Then the runtime findings are about
      | path                                |
      | colour                              |
      | name                                |
      | edge_address                        |
      | peer_address                        |
      | location.hall                       |
      | api.tls_certificate                 |
      | api.tls_key                         |
      | platform.url                        |
      | node.membership.suspect_after_s     |
      | node.routing.policy                 |
      | node.routing.replicas               |
      | node.health.minimum_available       |
      | node.requests.retry_burst           |

  Scenario: Keys are checked and never shown
    Given a runtime settings file that is complete
    When the runtime settings have three keys, two of them wrong
    Then the runtime findings are about
      | path           |
      | keys           |
      | keys[1].id     |
      | keys[2].secret |
    And the runtime findings show no secret

  Scenario: Flags win over the file and are named in findings
    Given a runtime settings file that is complete
    When the runtime flags give a good name and a bad hall
    Then the only runtime finding is about the flag

  Scenario: No value of any type makes the check raise
    When runtime settings are checked with arbitrary values
    Then each runtime check gave settings or findings
