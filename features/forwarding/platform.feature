Feature: The platform's names and formats

  Scenario: A packet is read and sent on as the platform's page shows
    Then platform packets follow the example of the page

  Scenario: Only the token is changed in a packet
    Then platform property: a packet sent on differs in the token only

  Scenario: Datagrams that are no packets are dropped
    Then platform property: any datagram is decoded or dropped

  Scenario: Settings files are read, unknown fields ignored
    Then platform settings are read from lines

  Scenario: The store's answers are read, whatever they hold
    Then platform documents become routes and back ends
    And platform property: any answer of the store becomes an event

  Scenario: An answer in any pieces is one answer
    Then platform property: a response cut anywhere is the same response

  Scenario: A list of many pages is read whole
    Then platform pages are put together under the first revision
    And platform pages that go on failing end the read

  Scenario: Nothing outside the adapter names the platform
    Then the platform's names stand in the adapter only
