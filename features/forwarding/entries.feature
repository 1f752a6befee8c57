Feature: Entries of other writers name no back end; a back end may start again under its id

  Scenario: Whatever another program writes, the other entries hold
    Then entries property: no entry raises, and none costs another one its place in a page or a watch

  Scenario Outline: An entry that another program has written names no back end
    Then entries: an entry with <field> <value> names no back end

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

  Scenario Outline: Bytes that cannot be read name no back end
    Then entries: an entry whose value is <value> names no back end

    Examples:
      | value              |
      | no base64          |
      | base64 of no JSON  |
      | base64 of no UTF-8 |
      | nested too deeply  |
      | very long          |
      | empty              |

  Scenario Outline: A key that is none of a back end names none
    Then entries: an entry under <key> names no back end

    Examples:
      | key                          |
      | servers/                     |
      | servers/a/i-7f3a91c2         |
      | servers/zzz                  |
      | servers/i-0                  |
      | servers/i-7f3a91c2#17        |

  Scenario: An entry that cannot be read is counted and logged at a bounded rate
    Given a forwarding node with routes and back ends
    When forwarding reads 40 lists in which an entry cannot be read
    Then forwarding has counted 40 unreadable entries, and logged at most 12 with key and reason

  Scenario: A back end whose entry turns unreadable gets no new flow, and keeps its open ones
    Given a forwarding node with one back end of a service
    When the entry of that back end turns unreadable in a watch
    Then forwarding gives that service no new flow, and forwards its open flows
    When the entry of that back end can be read again
    Then forwarding gives that service new flows

  Scenario: The same, found in a whole list
    Given a forwarding node with one back end of a service
    When the entry of that back end is unreadable in a list
    Then forwarding gives that service no new flow, and forwards its open flows

  Scenario: A back end that has left and starts again under its id gets new flows
    It had said that it leaves, and a back end that has said so stays leaving.  Started again under
    its id it was given no new flow for good.
    Given a forwarding node with one back end of a service
    When that back end says that it leaves, and starts again under its id
    Then forwarding gives that service new flows

  Scenario: A back end that starts again elsewhere is found there
    Given a forwarding node with one back end of a service
    When that back end starts again under its id at another address
    Then forwarding sends new flows, and packets with its token, to the new address

  Scenario: A back end of an older platform that stands at another address has started again
    Given a forwarding node with one back end of a service
    When the entry of that back end names another address and no start
    Then forwarding sends new flows, and packets with its token, to the new address

  Scenario: Nothing that was seen of the former start counts for the new one
    Given a forwarding node with one back end of a service
    When that back end is found unreachable, slow and failing, and starts again under its id
    Then nothing of that is known of the new start, which is slow from its start

  Scenario: What peers say late of the former start does not touch the new one
    Given a forwarding node with one back end of a service
    When that back end starts again under its id
    And peers say late that the former start leaves, fails and has departed
    Then forwarding gives that service new flows

  Scenario: News of two starts may come in any order
    Then entries property: in any order of news of several starts the latest one holds, and nothing of the others
