Feature: What is sent keeps its bytes

  The bytes are those of features/interfaces/wire.json, written once and never again:
  balancers, back ends, callers and stores of other versions send and take them.

  Scenario: Datagrams between balancers on the platform
    Given interfaces: a channel between balancers
    Then interfaces: each datagram between balancers has its bytes
    And interfaces: each datagram between balancers is received from its bytes
    And interfaces: there is no other datagram between balancers

  Scenario: Streams between balancers on the platform
    Given interfaces: a channel between balancers
    Then interfaces: each question on a stream has its bytes and takes its answer
    And interfaces: each question on a stream is answered by its bytes

  Scenario: Packets on the platform
    Then interfaces: packets to back ends and callers on the platform have their bytes
    And interfaces: packets of callers on the platform are decoded from their bytes

  Scenario: Requests to the platform's store
    Then interfaces: requests to the store have their bytes

  Scenario: Packets of its own callers and back ends
    Then interfaces: packets of callers and back ends of its own have their bytes
    And interfaces: packets of its own are decoded from their bytes
    And interfaces: numbers in packets of its own keep their meaning

  Scenario: Messages between its own balancers
    Then interfaces: configuration messages between balancers have their bytes
    And interfaces: configuration messages between balancers are decoded from their bytes
