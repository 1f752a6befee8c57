Feature: All settings are checked before a start
  Every finding is reported with its field, and a balancer starts only if there are none.

  Scenario: A complete settings file is accepted
    Given a runtime settings file that is complete
    Then the runtime settings are accepted

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

  Scenario: Keys are checked and never printed
    Given a runtime settings file that is complete
    When the runtime settings have three keys, two of them invalid
    Then the runtime findings are about
      | path           |
      | keys           |
      | keys[1].id     |
      | keys[2].secret |
    And the runtime findings contain no secret

  Scenario: Flags override the file and are named in findings
    Given a runtime settings file that is complete
    When the runtime flags set a valid name and an invalid hall
    Then the only runtime finding is about the flag

  Scenario: No value of any type makes the check raise
    When runtime settings are checked with arbitrary values
    Then each runtime check returned settings or findings

  Scenario: Settings without effect are accepted and named once
    Given a runtime settings file with every setting that any version accepts
    Then the runtime settings are accepted
    And the runtime check reports each setting without effect, and no other
    And the runtime settings command accepts the file, with one line that names them
    And a runtime balancer that starts with the file logs one line that names them

  Scenario Outline: Every placement policy of earlier versions is accepted
    Given a runtime settings file that is complete
    When the runtime settings have these values
      | path                | value      |
      | node.routing.policy | "<policy>" |
    Then the runtime settings are accepted
    And the runtime check reports these settings as without effect: <unread>

    Examples:
      | policy       | unread                               |
      | hash         | node.routing.policy = "hash"         |
      | bounded-load | node.routing.policy = "bounded-load" |
      | two-choices  | node.routing.policy = "two-choices"  |
      | hot-cold     | node.routing.policy = "hot-cold"     |
      | least-loaded | node.routing.policy = "least-loaded" |
      | token        | none                                 |
