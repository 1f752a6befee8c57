Feature: The bytes on the wire stay the same

  The bytes are recorded in features/interfaces/wire.json, which is never rewritten, since
  balancers, back ends, callers and stores of other versions send and receive them.

  Scenario: Datagrams between balancers on the platform
    Given interfaces: a channel between balancers
    Then interfaces: each datagram between balancers has the recorded bytes
    And interfaces: each datagram between balancers is decoded from the recorded bytes
    And interfaces: there is no other datagram between balancers

  Scenario: Streams between balancers on the platform
    Given interfaces: a channel between balancers
    Then interfaces: each request on a stream has the recorded bytes and its answer is decoded
    And interfaces: each request on a stream is answered with the recorded bytes

  Scenario: Packets on the platform
    Then interfaces: packets to back ends and callers on the platform have the recorded bytes
    And interfaces: packets of callers on the platform are decoded from the recorded bytes

  Scenario: Requests to the platform's store
    Then interfaces: requests to the store have the recorded bytes

  Scenario: Packets of sloepond's own callers and back ends
    Then interfaces: packets of sloepond's own callers and back ends have the recorded bytes
    And interfaces: sloepond's own packets are decoded from the recorded bytes
    And interfaces: numbers in sloepond's own packets keep their meaning

  Scenario: Messages between sloepond's own balancers
    Then interfaces: configuration messages between balancers have the recorded bytes
    And interfaces: configuration messages between balancers are decoded from the recorded bytes
