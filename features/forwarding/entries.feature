Feature: Invalid entries of other programs are not back ends; a back end may restart under its id

  Scenario: An invalid entry does not affect the other entries
    Then entries property: no entry raises, and none removes another one from a page or a watch

  Scenario Outline: An entry with an invalid field is not a back end
    Then entries: an entry with <field> <value> is not a back end

    Examples:
      | field         | value                 |
      | seq           | missing               |
      | seq           | "4"                   |
      | seq           | -1                    |
      | seq           | 4.5                   |
      | born          | "1764730000000"       |
      | born          | -5                    |
      | born          | 1764730000000.5       |
      | slots         | "2"                   |
      | slots         | 0                     |
      | slots         | 2.5                   |
      | slots         | null                  |
      | state         | "standby"             |
      | state         | missing               |
      | service       | 7                     |
      | service       | missing               |
      | zone          | missing               |
      | version       | missing               |
      | cold_left_ms  | "0"                   |
      | cold_left_ms  | -1                    |
      | cold_left_ms  | missing               |
      | addr          | "10.128.0.9"          |
      | addr          | "10.128.0.9:0"        |
      | addr          | "10.128.0.9:65536"    |
      | addr          | "10.128.0.900:8080"   |
      | addr          | "store.example:8080"  |
      | addr          | ["10.128.0.9", 8080]  |

  Scenario Outline: A value that cannot be decoded is not a back end
    Then entries: an entry whose value is <value> is not a back end

    Examples:
      | value              |
      | no base64          |
      | base64 of no JSON  |
      | base64 of no UTF-8 |
      | nested too deeply  |
      | very long          |
      | empty              |

  Scenario Outline: An entry under an invalid key is not a back end
    Then entries: an entry under <key> is not a back end

    Examples:
      | key                          |
      | servers/                     |
      | servers/a/i-7f3a91c2         |
      | servers/zzz                  |
      | servers/i-0                  |
      | servers/i-7f3a91c2#17        |

  Scenario: Unreadable entries are counted, and logged at a bounded rate
    Given a forwarding node with routes and back ends
    When forwarding reads 40 lists with an unreadable entry
    Then forwarding has counted 40 unreadable entries, and logged at most 12 with key and reason

  Scenario: A back end whose entry becomes unreadable in a watch gets no new flow, and keeps its open ones
    Given a forwarding node with one back end of a service
    When the entry of that back end becomes unreadable in a watch
    Then forwarding gives that service no new flow, and forwards its open flows
    When the entry of that back end becomes readable again
    Then forwarding gives that service new flows

  Scenario: A back end whose entry is unreadable in a list gets no new flow, and keeps its open ones
    Given a forwarding node with one back end of a service
    When the entry of that back end is unreadable in a list
    Then forwarding gives that service no new flow, and forwards its open flows

  Scenario: A back end that has left and starts again under its id gets new flows
    A back end that has announced that it leaves stays leaving.  If this also applied to its next incarnation,
    a back end that restarts under its id would never be given a new flow again.
    Given a forwarding node with one back end of a service
    When that back end announces that it leaves, and starts again under its id
    Then forwarding gives that service new flows

  Scenario: A back end that restarts at another address is used there
    Given a forwarding node with one back end of a service
    When that back end starts again under its id at another address
    Then forwarding sends new flows, and packets with its token, to the new address

  Scenario: A changed address shows a restart if the platform gives no start time
    Given a forwarding node with one back end of a service
    When the entry of that back end names another address and no start time
    Then forwarding sends new flows, and packets with its token, to the new address

  Scenario: Observations of the former incarnation do not apply to the new one
    Given a forwarding node with one back end of a service
    When that back end is found unreachable, slow and failing, and starts again under its id
    Then the new incarnation has none of these observations, and is in its cold start

  Scenario: Late reports of peers about the former incarnation do not affect the new one
    Given a forwarding node with one back end of a service
    When that back end starts again under its id
    And peers report late that the former incarnation leaves, fails and has departed
    Then forwarding gives that service new flows

  Scenario: Records of several incarnations may arrive in any order
    Then entries property: after records of several incarnations in any order only the latest one is held
