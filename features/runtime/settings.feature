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

  Scenario: Settings that nothing reads any more are accepted and named once
    Given a runtime settings file with every setting that was ever accepted
    Then the runtime settings are taken
    And the runtime check names each setting without effect, and no other
    And the runtime settings command accepts the file, with one line that names them
    And a runtime balancer that starts with the file logs one line that names them

  Scenario Outline: Every placement policy that was ever accepted still is
    Given a runtime settings file that is complete
    When the runtime settings have these values
      | path                | value      |
      | node.routing.policy | "<policy>" |
    Then the runtime settings are taken
    And the runtime check calls these settings without effect: <unread>

    Examples:
      | policy       | unread                               |
      | hash         | node.routing.policy = "hash"         |
      | bounded-load | node.routing.policy = "bounded-load" |
      | two-choices  | node.routing.policy = "two-choices"  |
      | hot-cold     | node.routing.policy = "hot-cold"     |
      | least-loaded | node.routing.policy = "least-loaded" |
      | token        | none                                 |
